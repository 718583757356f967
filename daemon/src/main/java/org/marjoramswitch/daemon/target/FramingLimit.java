package org.marjoramswitch.daemon.target;

import io.undertow.client.ClientConnection;
import io.undertow.util.Attachable;
import io.undertow.util.AttachmentKey;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.StreamConnection;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Bounds the bytes that a target may send without a part of a body. The HTTP client collects heads and trailers of any size,
 * so one without end would take all memory within a second.
 *
 * <p>Accessed on the connection's I/O thread.
 */
final class FramingLimit extends AbstractStreamSourceConduit<StreamSourceConduit> {
    /** Far above the size of any head, and above that of the chunk frames between two reads of a body. */
    static final long MAX_BYTES = 256 << 10;

    private static final AttachmentKey<FramingLimit> KEY = AttachmentKey.create(FramingLimit.class);

    private final Runnable onExceeded;
    private long bytes;

    private FramingLimit(StreamSourceConduit next, Runnable onExceeded) {
        super(next);
        this.onExceeded = onExceeded;
    }

    /** Thrown by a read after the limit was exceeded, which ends the connection. */
    static final class ExceededException extends IOException {
        private static final long serialVersionUID = 1;

        ExceededException() {
            super("more than " + MAX_BYTES + " bytes without a part of a body");
        }
    }

    /** Installs a limit on a connection from which nothing has been read. */
    static FramingLimit install(StreamConnection connected, Runnable onExceeded) {
        FramingLimit limit = new FramingLimit(connected.getSourceChannel().getConduit(), onExceeded);
        connected.getSourceChannel().setConduit(limit);
        return limit;
    }

    void attachTo(ClientConnection connection) {
        ((Attachable) connection).putAttachment(KEY, this);
    }

    /** Restarts the count: a request is about to be sent, or a head or a part of a body was received. */
    static void progressed(ClientConnection connection) {
        FramingLimit limit = ((Attachable) connection).getAttachment(KEY);
        if (limit != null) {
            limit.bytes = 0;
        }
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        return (int) counted(super.read(target));
    }

    @Override
    public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
        return counted(super.read(targets, offset, length));
    }

    private long counted(long count) throws IOException {
        bytes += Math.max(0, count);
        if (bytes <= MAX_BYTES) {
            return count;
        }
        onExceeded.run();
        throw new ExceededException();
    }
}
