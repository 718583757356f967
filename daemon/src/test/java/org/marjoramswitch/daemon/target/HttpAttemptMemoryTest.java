package org.marjoramswitch.daemon.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.daemon.exchange.TargetCall;
import org.marjoramswitch.daemon.exchange.TargetClient.AttemptListener;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.model.TargetOutcome;
import org.marjoramswitch.kernel.model.Usage;
import org.marjoramswitch.kernel.settings.TargetKind;
import org.marjoramswitch.kernel.settings.TargetSettings;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.StreamSinkChannel;

/** Attempts while the memory for incomplete responses is exhausted, or whose target sends faster than it is read. */
class HttpAttemptMemoryTest {
    private static final long TIMEOUT_S = 20;
    private static final long PROGRESS_TIMEOUT_MS = 15_000;
    private static final int MAX_RESPONSE_BYTES = 16 << 20;
    /** What a target that sends long rejections holds for each of them. */
    private static final int OTHER_HOLDER_BYTES = 40_000;
    /** Two rounds of 16 reads of 16 KiB. */
    private static final long MAX_BYTES_BETWEEN_TURNS = 512 << 10;

    private final MetricRegistry registry = new MetricRegistry();
    private final CountDownLatch firstBytes = new CountDownLatch(1);
    private final CompletableFuture<TargetOutcome> end = new CompletableFuture<>();
    private final AtomicLong received = new AtomicLong();
    private XnioWorker worker;
    private ServerSocket server;
    private TargetConnector connector;

    @BeforeEach
    void start() throws IOException {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        connector = new TargetConnector(
                worker,
                TargetClientOptions.defaults().withMaxResponseBytes(MAX_RESPONSE_BYTES),
                TargetProtocol.defaults(),
                TargetMetrics.in(registry));
    }

    @AfterEach
    void stop() throws IOException {
        worker.shutdownNow();
        server.close();
    }

    private class Recorder implements AttemptListener {
        @Override
        public void onHead(int status, Map<String, String> headers) {}

        @Override
        public void onBytes(byte[] bytes) {
            received.addAndGet(bytes.length);
            firstBytes.countDown();
        }

        @Override
        public void onProgress(long outputTokens) {}

        @Override
        public void onEnd(TargetOutcome outcome, Usage usage) {
            end.complete(outcome);
        }
    }

    private Socket begin(AttemptListener listener, String head) throws IOException {
        TargetSettings target = new TargetSettings(
                TargetId.of("t"),
                PoolId.of("p"),
                server.getInetAddress().getHostAddress(),
                server.getLocalPort(),
                DataCentreId.of("dc"),
                16,
                false);
        TargetCall call = TargetCall.of(TargetKind.PLAIN_SERVICE, "GET", "/x", Map.of(), new byte[0], false);
        HttpAttempt.start(
                connector,
                AttemptSpec.of(
                        AttemptSpec.Purpose.CALL, target, call, "1", PROGRESS_TIMEOUT_MS, TargetProtocol.defaults()),
                listener);
        Socket socket = server.accept();
        readHead(socket.getInputStream());
        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    private static void readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append((char) in.read());
        }
    }

    private void exhaustMemory() {
        HeldResponses responses = connector.heldResponses();
        while (responses.heldBytes() + OTHER_HOLDER_BYTES <= responses.maxBytes()) {
            responses.holder(() -> {}).hold(OTHER_HOLDER_BYTES);
        }
    }

    /** Guards against ending a sound response, of which nothing is held, for the estimate of a read of its body. */
    @Test
    void passedThroughBodyIsNotEvictedWhileMemoryIsExhausted() throws Exception {
        int length = 256 << 10;
        exhaustMemory();
        try (Socket socket = begin(new Recorder(), "HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n")) {
            socket.getOutputStream().write('x');
            assertTrue(firstBytes.await(TIMEOUT_S, TimeUnit.SECONDS));
            try {
                socket.getOutputStream().write(new byte[length - 1]);
            } catch (IOException reset) {
                // The outcome shows it.
            }
            assertEquals(TargetOutcome.COMPLETED, end.get(TIMEOUT_S, TimeUnit.SECONDS));
            assertEquals(length, received.get());
        }
    }

    /** Guards against evictions that are neither counted nor logged when the holder that grows is the largest. */
    @Test
    void evictionOfTheGrowingResponseIsCounted() throws Exception {
        expectCountedEviction("HTTP/1.1 503 Busy\r\nContent-Length: 60000\r\n\r\n");
    }

    /** Guards against evictions of incomplete heads that are neither counted nor logged. */
    @Test
    void evictionOfAnIncompleteHeadIsCounted() throws Exception {
        expectCountedEviction("HTTP/1.1 200 OK\r\nX-Long: ");
    }

    private void expectCountedEviction(String start) throws Exception {
        exhaustMemory();
        try (Socket socket = begin(new Recorder(), start)) {
            try {
                socket.getOutputStream().write("x".repeat(60_000).getBytes(StandardCharsets.US_ASCII));
            } catch (IOException reset) {
                // The outcome shows it.
            }
            assertEquals(TargetOutcome.BROKEN_BEFORE_ANSWER, end.get(TIMEOUT_S, TimeUnit.SECONDS));
        }
        await(() -> registry.counter("targets.answers.evicted").getCount() == 1);
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() - deadlineNs < 0, "condition not met in time");
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    /** Guards against a trailer section that is not counted because it arrives in a read that could bring a body. */
    @Test
    void incompleteTrailersOfOneReadAreCounted() throws Exception {
        try (Socket socket = begin(new Recorder(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")) {
            OutputStream out = socket.getOutputStream();
            out.write("1\r\nx\r\n".getBytes(StandardCharsets.US_ASCII));
            assertTrue(firstBytes.await(TIMEOUT_S, TimeUnit.SECONDS));
            out.write(("0\r\n" + "X-More: 1\r\n".repeat(800)).getBytes(StandardCharsets.US_ASCII));
            await(() -> connector.heldResponses().heldBytes() >= 8_000);
        }
    }

    /** Guards against reading one response several times before the thread's other sockets are handled. */
    @Test
    void fastResponseIsReadOnceBetweenOtherSockets() throws Exception {
        AtomicLong sinceTurn = new AtomicLong();
        AtomicLong maxSinceTurn = new AtomicLong();
        XnioIoThread thread = worker.getIoThread();
        StreamSinkChannel other = thread.createHalfDuplexPipe().getRightSide();
        other.getWriteSetter().set(writable -> sinceTurn.set(0));
        Recorder recorder = new Recorder() {
            @Override
            public void onBytes(byte[] bytes) {
                maxSinceTurn.accumulateAndGet(sinceTurn.addAndGet(bytes.length), Math::max);
                super.onBytes(bytes);
                // Slower than the target, so that there is always more to read.
                long resumeNs = System.nanoTime() + TimeUnit.MICROSECONDS.toNanos(200);
                while (System.nanoTime() - resumeNs < 0) {
                    Thread.onSpinWait();
                }
            }
        };
        try (Socket socket = begin(recorder, "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n")) {
            socket.getOutputStream().write('x');
            assertTrue(firstBytes.await(TIMEOUT_S, TimeUnit.SECONDS));
            other.resumeWrites();
            byte[] part = new byte[64 << 10];
            try {
                while (!end.isDone()) {
                    socket.getOutputStream().write(part);
                }
            } catch (IOException closed) {
                // The response has exceeded its maximum size.
            }
            end.get(TIMEOUT_S, TimeUnit.SECONDS);
        }
        assertTrue(maxSinceTurn.get() <= MAX_BYTES_BETWEEN_TURNS, () -> maxSinceTurn + " bytes");
    }
}
