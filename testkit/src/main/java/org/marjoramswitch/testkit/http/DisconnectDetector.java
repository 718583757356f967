package org.marjoramswitch.testkit.http;

import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.IoUtils;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Detects that a caller closes its connection while its request is running. Undertow does not read between the last
 * byte of a request and the end of its response, so it would notice the close only at the next write; an engine that
 * has nothing to write yet would continue for a disconnected caller. Needs no cleanup: Undertow replaces the read
 * listener for the next request.
 */
final class DisconnectDetector {
    private final AbstractServerConnection connection;
    private final StreamSourceConduit source;
    private final ByteBuffer probe = ByteBuffer.allocate(1);

    private DisconnectDetector(AbstractServerConnection connection) {
        this.connection = connection;
        this.source = connection.getOriginalSourceConduit();
    }

    /** Monitors the connection of an exchange whose request was read completely, until the exchange is complete. */
    static void begin(HttpServerExchange exchange) {
        // Deferred, since Undertow suspends reads when the call that delivered the request returns.
        exchange.getIoThread().execute(() -> {
            if (!exchange.isComplete() && exchange.getConnection() instanceof AbstractServerConnection connection) {
                new DisconnectDetector(connection).resume();
            }
        });
    }

    private void resume() {
        connection.getChannel().getSourceChannel().setReadListener(readable -> readReady());
        source.resumeReads();
    }

    private void readReady() {
        try {
            if (source.read(probe.clear()) != 0) {
                // End of stream, or a pipelined request, which the stand-ins do not support.
                IoUtils.safeClose(connection);
            }
        } catch (IOException e) {
            IoUtils.safeClose(connection);
        }
    }
}
