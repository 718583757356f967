package org.marjoramswitch.daemon.caller;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.admission.AdmissionRequest;

/**
 * An accepted connection that is neither served nor rejected yet. Its first bytes may be read ahead to identify the customer.
 *
 * <p>Used by the thread of {@link CallerAcceptor}, but for {@link #take}.
 */
final class WaitingConnection {
    private static final byte[] NONE = new byte[0];
    /** Far above the size of ordinary heads. Connections with larger ones are served as if their customer was not known. */
    private static final int MAX_PREFETCHED_BYTES = 4 << 10;

    private final SocketChannel channel;
    private final long acceptedMs;
    /** Set by the thread that serves the connection or rejects it. */
    private final AtomicBoolean taken = new AtomicBoolean();

    private byte[] prefetched = NONE;
    private @Nullable UnreadHead head;
    private @Nullable AdmissionRequest request;
    /** Number of queries of the head before it was complete; negative once the connection is broken. */
    private int queries;

    private WaitingConnection(SocketChannel channel, long acceptedMs) {
        this.channel = channel;
        this.acceptedMs = acceptedMs;
    }

    static WaitingConnection of(SocketChannel channel, long acceptedMs) {
        return new WaitingConnection(channel, acceptedMs);
    }

    SocketChannel channel() {
        return channel;
    }

    long acceptedMs() {
        return acceptedMs;
    }

    /** Claims the connection; false if it was claimed before. */
    boolean take() {
        return taken.compareAndSet(false, true);
    }

    boolean isTaken() {
        return taken.get();
    }

    /** The head, if it was complete when it was read ahead. */
    @Nullable
    UnreadHead head() {
        return head;
    }

    /** The request as estimated from its head; null if the head is not known. */
    @Nullable
    AdmissionRequest request() {
        return request;
    }

    void setRequest(AdmissionRequest estimated) {
        request = estimated;
    }

    /** The bytes that were read ahead. */
    byte[] prefetched() {
        return prefetched;
    }

    /**
     * Returns the head, or null while it is not complete. Reads ahead at every query whose number is a power of two: the first
     * bytes mostly arrive with the connection, and callers that are silent should cost little.
     *
     * @param buffer a buffer of the thread, whose contents are not kept between two calls
     */
    @Nullable
    UnreadHead readHead(UnreadHeadParser parser, ByteBuffer buffer) {
        if (head != null || queries < 0 || Integer.bitCount(++queries) != 1) {
            return head;
        }
        buffer.clear().limit(MAX_PREFETCHED_BYTES).put(prefetched);
        try {
            if (!buffer.hasRemaining() || channel.read(buffer) <= 0) {
                return null;
            }
        } catch (IOException e) {
            // Whoever serves or rejects the connection finds it broken as well.
            queries = -1;
            return null;
        }
        buffer.flip();
        prefetched = new byte[buffer.remaining()];
        buffer.get(0, prefetched);
        head = parser.parse(buffer);
        return head;
    }
}
