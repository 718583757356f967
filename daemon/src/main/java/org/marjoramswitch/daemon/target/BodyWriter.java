package org.marjoramswitch.daemon.target;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.channels.StreamSinkChannel;

/** Writes a request body without blocking. Confined to the connection's I/O thread. */
final class BodyWriter {
    private final StreamSinkChannel channel;
    private final ByteBuffer unsent;
    private final Listener listener;
    private boolean finished;

    private BodyWriter(StreamSinkChannel channel, byte[] body, Listener listener) {
        this.channel = channel;
        this.unsent = ByteBuffer.wrap(body);
        this.listener = listener;
    }

    /** Starts writing; an empty body counts as sent together with the head. */
    static void start(StreamSinkChannel channel, byte[] body, Listener listener) {
        if (body.length == 0) {
            listener.onSent();
            return;
        }
        BodyWriter writer = new BodyWriter(channel, body, listener);
        channel.getWriteSetter().set(writable -> writer.write());
        writer.write();
    }

    private void write() {
        if (finished) {
            return;
        }
        try {
            if (flushBody()) {
                finished = true;
                channel.suspendWrites();
                listener.onSent();
            } else {
                channel.resumeWrites();
            }
        } catch (IOException e) {
            finished = true;
            listener.onFailed();
        }
    }

    private boolean flushBody() throws IOException {
        while (unsent.hasRemaining()) {
            if (channel.write(unsent) == 0) {
                return false;
            }
            listener.onProgress();
        }
        channel.shutdownWrites();
        return channel.flush();
    }

    /** Receives the progress of the write, then exactly one of sent or failed. */
    interface Listener {
        void onProgress();

        /** The complete request has been passed to the operating system. */
        void onSent();

        void onFailed();
    }
}
