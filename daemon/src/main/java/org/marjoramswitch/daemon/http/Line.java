package org.marjoramswitch.daemon.http;

/** Checks the bytes of a line, without its end. */
interface Line {
    /**
     * Takes bytes from an index on while the line may go on with them.
     *
     * @return the index of the first byte that it may not go on with, which every line end is, or {@code to}
     */
    int accept(byte[] bytes, int from, int to);

    /** Whether the line may end here. */
    boolean end();
}
