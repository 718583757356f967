package org.marjoramswitch.daemon.caller;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import org.xnio.StreamConnection;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Returns bytes that were read from a socket before its connection was passed to the HTTP server, ahead of those that
 * arrive. The server reads a new connection without waiting for the socket to become readable.
 *
 * <p>Confined to the connection's I/O thread.
 */
final class PrefetchedSource extends AbstractStreamSourceConduit<StreamSourceConduit> {
    private static final ByteBuffer NONE = ByteBuffer.allocate(0);

    /** Replaced once it is used up, since the connection may stay open for long. */
    private ByteBuffer prefetched;

    private PrefetchedSource(StreamSourceConduit next, byte[] prefetched) {
        super(next);
        this.prefetched = ByteBuffer.wrap(prefetched);
    }

    /** Must be called before anything reads from the connection. */
    static void install(StreamConnection connection, byte[] prefetched) {
        if (prefetched.length > 0) {
            connection
                    .getSourceChannel()
                    .setConduit(
                            new PrefetchedSource(connection.getSourceChannel().getConduit(), prefetched));
        }
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        return prefetched.hasRemaining() ? take(target) : super.read(target);
    }

    @Override
    public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
        if (!prefetched.hasRemaining()) {
            return super.read(targets, offset, length);
        }
        long count = 0;
        for (int i = 0; i < length; i++) {
            count += take(targets[offset + i]);
        }
        return count;
    }

    private int take(ByteBuffer target) {
        int count = Math.min(prefetched.remaining(), target.remaining());
        target.put(prefetched.slice().limit(count));
        used(count);
        return count;
    }

    private void used(int count) {
        prefetched.position(prefetched.position() + count);
        if (!prefetched.hasRemaining()) {
            prefetched = NONE;
        }
    }

    @Override
    public long transferTo(long position, long count, FileChannel target) throws IOException {
        if (!prefetched.hasRemaining()) {
            return super.transferTo(position, count, target);
        }
        ByteBuffer part = prefetched.slice().limit((int) Math.min(count, prefetched.remaining()));
        int written = target.write(part, position);
        used(written);
        return written;
    }

    /** Passes what was prefetched on through the buffer, as a read into it would. */
    @Override
    public long transferTo(long count, ByteBuffer throughBuffer, StreamSinkChannel target) throws IOException {
        if (!prefetched.hasRemaining()) {
            return super.transferTo(count, throughBuffer, target);
        }
        ByteBuffer part = prefetched.slice().limit((int) Math.min(count, prefetched.remaining()));
        int written = target.write(part);
        used(written);
        throughBuffer.limit(0);
        return written;
    }
}
