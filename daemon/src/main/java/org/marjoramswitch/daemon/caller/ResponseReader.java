package org.marjoramswitch.daemon.caller;

/** Reader of a {@link ResponseBuffer}. Methods are called by any thread and must not block. */
interface ResponseReader {
    /** A head, bytes or the end can be read. */
    void onMore();

    /** The reader has too many unread bytes and was removed. */
    void onDropped();
}
