package org.marjoramswitch.testkit.http;

import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.IoUtils;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Notices that a caller closes its connection while its request runs. Undertow does not read between a request's last
 * byte and the end of its answer, and so would see the close only at the next write; an engine that has not yet
 * anything to write would go on for a caller who is gone. Ends by itself: Undertow sets its own read listener for the
 * next request.
 */
final class DisconnectDetector {
    private final AbstractServerConnection connection;
    private final StreamSourceConduit source;
    private final ByteBuffer probe = ByteBuffer.allocate(1);

    private DisconnectDetector(AbstractServerConnection connection) {
        this.connection = connection;
        this.source = connection.getOriginalSourceConduit();
    }

    /** Watches the connection of an exchange whose request was read whole, until the exchange is complete. */
    static void begin(HttpServerExchange exchange) {
        // Later, since Undertow suspends reads when the call that brought the request returns.
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
                // Closed, or a caller that pipelines, which the stand-ins don't serve.
                IoUtils.safeClose(connection);
            }
        } catch (IOException e) {
            IoUtils.safeClose(connection);
        }
    }
}
