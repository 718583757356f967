package org.marjoramswitch.daemon.caller;

/** One that follows an answer. Both calls come from any thread and must not block. */
interface ResponseReader {
    /** There is more to read: a head, bytes or the end. */
    void onMore();

    /** The reader fell too far behind and gets no more. */
    void onDropped();
}
