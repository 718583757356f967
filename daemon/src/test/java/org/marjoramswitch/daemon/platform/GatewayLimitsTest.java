package org.marjoramswitch.daemon.platform;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.undertow.util.HeaderMap;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntConsumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.marjoramswitch.daemon.settings.HostPort;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.StreamSinkChannel;

/** A store that sends responses without end, or many large ones at a time. */
@Timeout(60)
class GatewayLimitsTest {
    private static final long TIMEOUT_S = 20;
    /** Longer than the tests. */
    private static final long CALL_MS = 50_000;

    private static final int MAX_RESPONSE_BYTES = 1 << 20;
    /** A store that could send this much of a head, including what socket buffers hold, was not limited. */
    private static final long MAX_HEAD_BYTES = 32 << 20;
    /** Two rounds of 16 reads of 16 KiB. */
    private static final long MAX_BYTES_BETWEEN_TURNS = 512 << 10;

    private final AtomicLong clockMs = new AtomicLong();
    private final List<Socket> sockets = new ArrayList<>();
    private XnioWorker worker;
    private ServerSocket server;
    private StoreClient client;

    @BeforeEach
    void start() throws IOException {
        worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.THREAD_DAEMON, true)
                        .getMap());
        server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        client = StoreClient.start(
                List.of(HostPort.of(server.getInetAddress().getHostAddress(), server.getLocalPort())),
                PlatformFixture.options()
                        .withTimeouts(CALL_MS, CALL_MS, CALL_MS)
                        .withMaxResponseBytes(MAX_RESPONSE_BYTES),
                worker,
                new MetricRegistry(),
                (body, headers) -> 0,
                clockMs::get);
    }

    @AfterEach
    void stop() throws IOException {
        client.close();
        worker.shutdownNow();
        server.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    /** Guards against a head without end that takes all memory. */
    @Test
    void headWithoutEndIsNotRead() throws Exception {
        assertTrue(sentUntilClosed("HTTP/1.1 200 OK\r\nX-Long: ", "x".repeat(10_000)) < MAX_HEAD_BYTES);
    }

    /** Guards against trailers without end that take all memory. */
    @Test
    void trailersWithoutEndAreNotRead() throws Exception {
        String start = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
        assertTrue(sentUntilClosed(start, "X-More: 1\r\n".repeat(1_000)) < MAX_HEAD_BYTES);
    }

    private long sentUntilClosed(String start, String part) throws Exception {
        CompletableFuture<KeyValueResult<String>> call = write();
        Socket socket = accept();
        OutputStream out = socket.getOutputStream();
        long sentBytes = 0;
        try {
            out.write(start.getBytes(US_ASCII));
            while (sentBytes < MAX_HEAD_BYTES) {
                out.write(part.getBytes(US_ASCII));
                sentBytes += part.length();
            }
        } catch (IOException closed) {
            assertFalse(call.get(TIMEOUT_S, TimeUnit.SECONDS) instanceof KeyValueResult.Answered);
        }
        return sentBytes;
    }

    /** Guards against many responses below the limit of one that together take all memory. */
    @Test
    void incompleteResponsesTogetherAreBounded() throws Exception {
        List<CompletableFuture<KeyValueResult<String>>> calls = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            calls.add(write());
            OutputStream out = accept().getOutputStream();
            out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + MAX_RESPONSE_BYTES + "\r\n\r\n").getBytes(US_ASCII));
            out.write(new byte[MAX_RESPONSE_BYTES * 3 / 4]);
        }
        CompletableFuture.anyOf(calls.toArray(CompletableFuture[]::new)).get(TIMEOUT_S, TimeUnit.SECONDS);
        assertTrue(calls.stream().filter(call -> !call.isDone()).count() >= 2);
    }

    /** Guards against an end of all later calls because the memory of ended responses is still counted. */
    @Test
    void completeResponsesAreNotCounted() throws Exception {
        String body = "\"" + "x".repeat(MAX_RESPONSE_BYTES * 3 / 4) + "\"";
        CompletableFuture<KeyValueResult<String>> call = write();
        Socket socket = accept();
        for (int i = 0; i < 8; i++) {
            socket.getOutputStream()
                    .write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                            .getBytes(US_ASCII));
            assertEquals(body.substring(1, body.length() - 1), PlatformFixture.answered(call));
            call = write();
            readRequest(socket.getInputStream());
        }
    }

    /** Guards against an I/O thread that reads a fast response only, while its timers and other sockets wait. */
    @Test
    void fastResponseIsReadOnceBetweenOtherSockets() throws Exception {
        AtomicLong sinceTurn = new AtomicLong();
        AtomicLong maxSinceTurn = new AtomicLong();
        AtomicLong received = new AtomicLong();
        XnioIoThread thread = worker.getIoThread();
        StreamSinkChannel other = thread.createHalfDuplexPipe().getRightSide();
        other.getWriteSetter().set(writable -> sinceTurn.set(0));
        SlowListener reader = new SlowListener(bytes -> {
            received.addAndGet(bytes);
            maxSinceTurn.accumulateAndGet(sinceTurn.addAndGet(bytes), Math::max);
        });
        thread.execute(
                () -> client.caller().connections().connect(HostPort.of("127.0.0.1", server.getLocalPort()), reader));
        Socket socket = accept();
        OutputStream out = socket.getOutputStream();
        out.write("HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\nx".getBytes(US_ASCII));
        PlatformFixture.until(() -> received.get() > 0);
        other.resumeWrites();
        byte[] part = new byte[64 << 10];
        for (int sentBytes = 0; sentBytes < 16 * MAX_RESPONSE_BYTES; sentBytes += part.length) {
            out.write(part);
        }
        assertTrue(maxSinceTurn.get() <= MAX_BYTES_BETWEEN_TURNS, () -> maxSinceTurn + " bytes");
    }

    private CompletableFuture<KeyValueResult<String>> write() {
        return client.write("POST", "/x", "{}", body -> body.asText());
    }

    private Socket accept() throws IOException {
        Socket socket = server.accept();
        sockets.add(socket);
        readRequest(socket.getInputStream());
        return socket;
    }

    /** Reads a head; the few bytes of a body stay in the socket or are skipped with the next head. */
    private static void readRequest(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("closed");
            }
            head.append((char) next);
        }
    }

    /** Receives a response more slowly than it is sent, so that there is always more to read. */
    private static final class SlowListener implements GatewayConnections.Listener, GatewayExchange.Listener {
        private final IntConsumer onRead;

        private SlowListener(IntConsumer onRead) {
            this.onRead = onRead;
        }

        @Override
        public void onConnected(GatewayConnections.Link link) {
            link.send("GET", "/x", "", this);
        }

        @Override
        public void onConnectFailed(String reason) {}

        @Override
        public void onHead(int status, HeaderMap headers) {}

        @Override
        public void onBytes(ByteBuffer bytes) {
            onRead.accept(bytes.remaining());
            long resumeNs = System.nanoTime() + TimeUnit.MICROSECONDS.toNanos(200);
            while (System.nanoTime() - resumeNs < 0) {
                Thread.onSpinWait();
            }
        }

        @Override
        public void onComplete(boolean reusable) {}

        @Override
        public void onFailed(String reason) {}
    }
}
