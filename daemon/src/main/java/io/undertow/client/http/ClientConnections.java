package io.undertow.client.http;

import io.undertow.client.ClientConnection;
import io.undertow.connector.ByteBufferPool;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;

/**
 * Makes an HTTP client connection from a connected stream, as Undertow's own client does after its connect. Undertow has no
 * public function for this and gives no access to the stream before it reads from it, so this class is in Undertow's package.
 */
public final class ClientConnections {
    private ClientConnections() {}

    /** Must be called before anything is read from the stream. */
    public static ClientConnection over(StreamConnection connected, OptionMap options, ByteBufferPool buffers) {
        return new HttpClientConnection(connected, options, buffers);
    }
}
