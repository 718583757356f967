package org.marjoramswitch.daemon.caller;

/** Notified of the progress of a {@link ResponseBuffer} that it reads. Called by any thread; must not block. */
interface ResponseBufferListener {
    /** A head, bytes or the end can be read. */
    void onMore();

    /** The reader has too many unread bytes and was removed. */
    void onDropped();
}
