package org.marjoramswitch.daemon.target;

import io.undertow.client.ClientConnection;
import io.undertow.util.Attachable;
import io.undertow.util.AttachmentKey;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.StreamConnection;
import org.xnio.channels.StreamSourceChannel;

/**
 * Detects input on a kept connection before its next request is sent. Bytes that follow a complete response belong to no
 * request. The HTTP client would take them for the beginning of the next response: the beginning of an extra head joins
 * with the next head, and the joined one can have the length of the first and the id of the second.
 *
 * <p>Accessed on the connection's I/O thread.
 */
final class UnreadInput {
    private static final AttachmentKey<StreamSourceChannel> KEY = AttachmentKey.create(StreamSourceChannel.class);

    private UnreadInput() {}

    static void attachTo(ClientConnection connection, StreamConnection connected) {
        ((Attachable) connection).putAttachment(KEY, connected.getSourceChannel());
    }

    /**
     * Whether a connection without an exchange has input or has ended. Consumes input: a connection that has some must be
     * closed. The source channel also returns what the HTTP client has read beyond the end of the last response.
     */
    static boolean isPresent(ClientConnection connection) {
        StreamSourceChannel input = ((Attachable) connection).getAttachment(KEY);
        if (input == null) {
            return false;
        }
        try {
            return input.read(ByteBuffer.allocate(1)) != 0;
        } catch (IOException failed) {
            return true;
        }
    }
}
