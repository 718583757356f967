package org.xnio.nio;

import java.nio.channels.ClosedChannelException;
import java.nio.channels.SocketChannel;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * Makes a connection of XNIO from a socket that was accepted elsewhere, as XNIO's own server does after its accept. XNIO has
 * no public function for this, and its server accepts on the condition that one of its I/O threads runs, so this class is
 * in XNIO's package.
 */
public final class AcceptedSocket {
    private AcceptedSocket() {}

    /**
     * Must be called on the I/O thread.
     *
     * @param channel a connected non-blocking channel
     * @param onClosed called once when the connection has been closed
     */
    public static StreamConnection toConnection(XnioIoThread thread, SocketChannel channel, Runnable onClosed)
            throws ClosedChannelException {
        WorkerThread worker = (WorkerThread) thread;
        return new NioSocketStreamConnection(worker, worker.registerChannel(channel), onClosed::run);
    }
}
