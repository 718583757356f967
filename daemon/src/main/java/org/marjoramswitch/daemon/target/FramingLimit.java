package org.marjoramswitch.daemon.target;

import io.undertow.client.ClientConnection;
import io.undertow.util.Attachable;
import io.undertow.util.AttachmentKey;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Bounds the bytes that a server may send without a part of a body. The HTTP client collects heads and trailers of any size,
 * so one without end would take all memory within a second. Their memory counts in {@link HeldResponses}, since many
 * connections may hold a part of a head at a time.
 *
 * <p>Accessed on the connection's I/O thread.
 */
public final class FramingLimit extends AbstractStreamSourceConduit<StreamSourceConduit> {
    /** Far above the size of any head, and above that of the chunk frames between two reads of a body. */
    static final long MAX_BYTES = 64 << 10;

    /** The client's parser collects a header in a buffer that doubles, and copies it. */
    private static final int MEMORY_FACTOR = 2;
    /** Objects that the client creates for a header, which may have a few bytes only. */
    private static final int LINE_BYTES = 128;
    /** A short line, for bytes in which lines are not counted. */
    private static final int ESTIMATED_LINE_BYTES = 16;

    private static final AttachmentKey<FramingLimit> KEY = AttachmentKey.create(FramingLimit.class);

    private final Runnable onExceeded;
    private final HeldResponses.Holder held;
    private long bytes;
    private long lines;
    private boolean inBody;

    private FramingLimit(StreamConnection connected, HeldResponses responses, Runnable onExceeded, Runnable onEvicted) {
        super(connected.getSourceChannel().getConduit());
        this.onExceeded = onExceeded;
        this.held = responses.holder(() -> connected.getIoThread().execute(() -> evict(connected, onEvicted)));
    }

    /** Closes the connection, unless what it held has been parsed since and it may carry a sound response. */
    private void evict(StreamConnection connected, Runnable onEvicted) {
        if (held.isEvicted()) {
            onEvicted.run();
            IoUtils.safeClose(connected);
        }
    }

    /** Thrown by a read after a limit was exceeded, which ends the connection. */
    static final class ExceededException extends IOException {
        private static final long serialVersionUID = 1;

        ExceededException(String limit) {
            super("exceeds " + limit);
        }
    }

    /** Installs a limit on a connection from which nothing has been read. */
    public static FramingLimit install(
            StreamConnection connected, HeldResponses responses, Runnable onExceeded, Runnable onEvicted) {
        FramingLimit limit = new FramingLimit(connected, responses, onExceeded, onEvicted);
        connected.getSourceChannel().setConduit(limit);
        return limit;
    }

    /** Must be called when the connection has been created over the limited stream. */
    public void attachTo(ClientConnection connection) {
        ((Attachable) connection).putAttachment(KEY, this);
        connection.addCloseListener(closed -> held.close());
    }

    private long heldBytes() {
        return MEMORY_FACTOR * bytes + LINE_BYTES * lines;
    }

    /** Restarts the count: a request is about to be sent. */
    public static void awaitsHead(ClientConnection connection) {
        restart(connection, false);
    }

    /** Restarts the count: a head or a part of a body was received. */
    public static void progressed(ClientConnection connection) {
        restart(connection, true);
    }

    /** The client has read all that has arrived. Returns false if the memory for what it holds of it is exhausted. */
    public static boolean awaitsMore(ClientConnection connection) {
        FramingLimit limit = ((Attachable) connection).getAttachment(KEY);
        return limit == null || limit.held.hold(limit.heldBytes());
    }

    private static void restart(ClientConnection connection, boolean inBody) {
        FramingLimit limit = ((Attachable) connection).getAttachment(KEY);
        if (limit != null) {
            limit.inBody = inBody;
            limit.bytes = 0;
            limit.lines = 0;
            limit.held.release();
        }
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        int from = target.position();
        boolean bodyExpected = isBodyExpected();
        int count = super.read(target);
        if (count > 0) {
            lines += bodyExpected ? count / ESTIMATED_LINE_BYTES : lines(target, from);
        }
        received(count, bodyExpected);
        return count;
    }

    @Override
    public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
        int[] from = new int[length];
        for (int i = 0; i < length; i++) {
            from[i] = targets[offset + i].position();
        }
        boolean bodyExpected = isBodyExpected();
        long count = super.read(targets, offset, length);
        if (count > 0 && bodyExpected) {
            lines += count / ESTIMATED_LINE_BYTES;
        } else if (count > 0) {
            for (int i = 0; i < length; i++) {
                lines += lines(targets[offset + i], from[i]);
            }
        }
        received(count, bodyExpected);
        return count;
    }

    /** Whether this read most probably brings a part of a body, whose lines are not counted to save processor time. */
    private boolean isBodyExpected() {
        return inBody && bytes == 0;
    }

    private static int lines(ByteBuffer buffer, int from) {
        int lines = 0;
        for (int i = from; i < buffer.position(); i++) {
            if (buffer.get(i) == '\n') {
                lines++;
            }
        }
        return lines;
    }

    private void received(long count, boolean bodyExpected) throws IOException {
        if (count <= 0) {
            return;
        }
        bytes += count;
        if (bytes > MAX_BYTES) {
            onExceeded.run();
            throw new ExceededException(MAX_BYTES + " bytes without a part of a body");
        }
        // A part of a body is not held here; whether the read brought one is known when the client has parsed it.
        if (!bodyExpected && !held.hold(heldBytes())) {
            throw new ExceededException("the memory for responses");
        }
    }
}
