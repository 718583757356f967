package org.marjoramswitch.daemon.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(20)
class CallerWatchTest {
    private static final byte[] REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

    private final BlockingQueue<HttpServerExchange> arrived = new LinkedBlockingQueue<>();
    private final Undertow server = Undertow.builder()
            .addHttpListener(0, "127.0.0.1")
            .setIoThreads(1)
            .setHandler(exchange -> exchange.dispatch(SameThreadExecutor.INSTANCE, () -> arrived.add(exchange)))
            .build();

    CallerWatchTest() {
        server.start();
    }

    @AfterEach
    void stop() {
        server.stop();
    }

    /**
     * An overloaded instance reads a request only after its caller has closed the connection. The request is still read
     * completely, and the close follows it in the input; without the check the request would run for no caller.
     */
    @Test
    void callerThatClosedBeforeItsRequestWasReadHasDisconnected() throws Exception {
        try (Socket caller = send(REQUEST)) {
            HttpServerExchange exchange = arrived.take();
            assertFalse(hasDisconnected(exchange));
            caller.shutdownOutput();
            while (!hasDisconnected(exchange)) {
                // The close has not arrived over loopback yet.
                Thread.onSpinWait();
            }
        }
    }

    /** A caller that has already sent its next request waits for both responses. */
    @Test
    void callerThatSentItsNextRequestIsConnected() throws Exception {
        byte[] two = new byte[2 * REQUEST.length];
        System.arraycopy(REQUEST, 0, two, 0, REQUEST.length);
        System.arraycopy(REQUEST, 0, two, REQUEST.length, REQUEST.length);
        try (Socket caller = send(two)) {
            HttpServerExchange first = arrived.take();
            assertFalse(hasDisconnected(first));
            first.getIoThread().execute(first::endExchange);
            HttpServerExchange second = arrived.take();
            assertEquals("/", second.getRequestPath());
            second.getIoThread().execute(second::endExchange);
        }
    }

    private Socket send(byte[] bytes) throws IOException {
        InetSocketAddress bound =
                (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), bound.getPort());
        socket.getOutputStream().write(bytes);
        return socket;
    }

    private static boolean hasDisconnected(HttpServerExchange exchange)
            throws ExecutionException, InterruptedException {
        CompletableFuture<Boolean> disconnected = new CompletableFuture<>();
        exchange.getIoThread().execute(() -> disconnected.complete(CallerWatch.hasDisconnected(exchange)));
        return disconnected.get();
    }
}
