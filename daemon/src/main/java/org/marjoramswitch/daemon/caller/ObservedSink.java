package org.marjoramswitch.daemon.caller;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import org.xnio.channels.StreamSourceChannel;
import org.xnio.conduits.AbstractStreamSinkConduit;
import org.xnio.conduits.StreamSinkConduit;

/** Observes what is written to a connection's socket. */
final class ObservedSink extends AbstractStreamSinkConduit<StreamSinkConduit> {
    private final Listener listener;

    ObservedSink(StreamSinkConduit next, Listener listener) {
        super(next);
        this.listener = listener;
    }

    /** Called on the connection's I/O thread. */
    interface Listener {
        void onWritten(long bytes);

        /** A write failed. */
        void onBroken();
    }

    /** A write to the socket. */
    private interface Write {
        long run() throws IOException;
    }

    private long observe(Write write) throws IOException {
        try {
            long count = write.run();
            listener.onWritten(Math.max(0, count));
            return count;
        } catch (IOException e) {
            listener.onBroken();
            throw e;
        }
    }

    @Override
    public int write(ByteBuffer source) throws IOException {
        return (int) observe(() -> next.write(source));
    }

    @Override
    public long write(ByteBuffer[] sources, int offset, int length) throws IOException {
        return observe(() -> next.write(sources, offset, length));
    }

    @Override
    public int writeFinal(ByteBuffer source) throws IOException {
        return (int) observe(() -> next.writeFinal(source));
    }

    @Override
    public long writeFinal(ByteBuffer[] sources, int offset, int length) throws IOException {
        return observe(() -> next.writeFinal(sources, offset, length));
    }

    @Override
    public long transferFrom(FileChannel source, long position, long count) throws IOException {
        return observe(() -> next.transferFrom(source, position, count));
    }

    @Override
    public long transferFrom(StreamSourceChannel source, long count, ByteBuffer throughBuffer) throws IOException {
        return observe(() -> next.transferFrom(source, count, throughBuffer));
    }
}
