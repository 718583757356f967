package org.marjoramswitch.daemon.caller;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.AttachmentKey;
import java.io.IOException;
import org.jspecify.annotations.Nullable;
import org.xnio.IoUtils;
import org.xnio.conduits.ReadReadyHandler;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Notices that a caller has gone while its request waits or is answered.
 *
 * <p>Undertow reads a connection only for the next request, so without this a caller's close would be seen no earlier
 * than the first write after it, and a request whose caller is gone would wait and run for nobody. While an answer is
 * outstanding this class reads the connection itself: an end of input means that the caller closed its connection or its
 * sending half, which cannot be told apart here; bytes are the caller's next request and are put back.
 *
 * <p>All of it runs on the connection's IO thread.
 */
final class CallerWatch {
    private static final AttachmentKey<Slot> SLOT = AttachmentKey.create(Slot.class);

    private final HttpServerConnection connection;
    private final Listener listener;
    private boolean stopped;

    private CallerWatch(HttpServerConnection connection, Listener listener) {
        this.connection = connection;
        this.listener = listener;
    }

    /** Hears of the caller, at most once and never after {@link #stop}. */
    interface Listener {
        /** The caller sends no more; it may still read. */
        void onInputEnded();

        /** The connection is closed. */
        void onClosed();
    }

    /** Starts watching; to be called on the IO thread after the body was read. */
    static CallerWatch start(HttpServerExchange exchange, Listener listener) {
        CallerWatch watch = new CallerWatch((HttpServerConnection) exchange.getConnection(), listener);
        watch.start();
        return watch;
    }

    /**
     * Whether the caller had gone before its request was read; to be called on the IO thread after the body was read. On an
     * instance that is behind, request and close lie unread together, and the watch would meet the close only when the request
     * has been sent on.
     */
    static boolean hasLeft(HttpServerExchange exchange) {
        HttpServerConnection connection = (HttpServerConnection) exchange.getConnection();
        return connection.getExtraBytes() == null && readOnce(connection) == Input.ENDED;
    }

    private void start() {
        slot().current = this;
        if (connection.getExtraBytes() != null) {
            return; // the next request is here already, so the caller is too
        }
        StreamSourceConduit conduit = connection.getOriginalSourceConduit();
        conduit.setReadReadyHandler(new InputHandler());
        conduit.resumeReads();
    }

    /** One close listener for each connection: Undertow has no way to take one off again. */
    private Slot slot() {
        Slot slot = connection.getAttachment(SLOT);
        if (slot != null) {
            return slot;
        }
        Slot created = new Slot();
        connection.putAttachment(SLOT, created);
        connection.addCloseListener(closed -> runOnIoThread(created::onClosed));
        return created;
    }

    private void runOnIoThread(Runnable task) {
        if (Thread.currentThread() == connection.getIoThread()) {
            task.run();
        } else {
            connection.getIoThread().execute(task);
        }
    }

    /** Stops watching and gives the connection back; must come before the exchange ends. */
    void stop() {
        if (stopped) {
            return;
        }
        stopped = true;
        StreamSourceConduit conduit = connection.getOriginalSourceConduit();
        conduit.suspendReads();
        conduit.setReadReadyHandler(new ReadReadyHandler.ChannelListenerHandler<>(
                connection.getChannel().getSourceChannel()));
    }

    private void closed() {
        if (!stopped) {
            stop();
            listener.onClosed();
        }
    }

    private void readInput() {
        if (stopped) {
            return;
        }
        switch (readOnce(connection)) {
            case ENDED -> {
                stop();
                listener.onInputEnded();
            }
            case MORE -> connection.getOriginalSourceConduit().suspendReads();
            case BROKEN -> {
                IoUtils.safeClose(connection);
                closed();
            }
            case NONE -> {}
        }
    }

    /** Reads what there is; bytes of the next request are put back. */
    private static Input readOnce(HttpServerConnection connection) {
        PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
        boolean handedOver = false;
        try {
            int count = connection.getOriginalSourceConduit().read(pooled.getBuffer());
            if (count <= 0) {
                return count < 0 ? Input.ENDED : Input.NONE;
            }
            pooled.getBuffer().flip();
            connection.ungetRequestBytes(pooled);
            handedOver = true;
            return Input.MORE;
        } catch (IOException e) {
            return Input.BROKEN;
        } finally {
            if (!handedOver) {
                pooled.close();
            }
        }
    }

    /** What one read met. */
    private enum Input {
        NONE,
        MORE,
        ENDED,
        BROKEN
    }

    /** The watch that a connection's close is told to. */
    private static final class Slot {
        private @Nullable CallerWatch current;

        private void onClosed() {
            if (current != null) {
                current.closed();
            }
        }
    }

    /** Hears that the connection has input. */
    private final class InputHandler implements ReadReadyHandler {
        @Override
        public void readReady() {
            readInput();
        }

        @Override
        public void forceTermination() {
            IoUtils.safeClose(connection);
        }

        @Override
        public void terminated() {
            // The end of input is told by the read that met it, the close by the close listener.
        }
    }
}
