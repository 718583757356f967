package org.marjoramswitch.daemon.caller;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What callers send while the I/O threads are held up beyond a timeout: timers run before the sockets are read. */
class HeldUpThreadTest {
    private static final String CHAT_PATH = "/v1/chat/completions";
    private static final int BODY_TIMEOUT_MS = 400;
    private static final int IDLE_TIMEOUT_MS = 500;
    private static final int IO_THREADS = CallerOptions.defaults().ioThreads();
    /** So many that each I/O thread serves one of them. */
    private static final int HOLDING_CONNECTIONS = 32;

    private final Fixture fixture = Fixture.start(CallerOptions.builder()
            .times(new CallerOptions.Times(60_000, BODY_TIMEOUT_MS, IDLE_TIMEOUT_MS, 50, 30_000, 10_000, 1_000))
            .build());
    private final CountDownLatch release = new CountDownLatch(1);
    private final Set<Thread> held = ConcurrentHashMap.newKeySet();
    private final List<Socket> holding = new ArrayList<>();

    @AfterEach
    void close() throws Exception {
        release.countDown();
        for (Socket socket : holding) {
            socket.close();
        }
        fixture.close();
    }

    /** Guards against closing an idle connection while a whole request waits unread. */
    @Test
    @Timeout(20)
    void requestOnAnIdleConnectionIsAnswered() throws Exception {
        try (Socket socket = fixture.connect()) {
            Fixture.send(socket, Fixture.rawHead("GET", "/health/live"));
            Fixture.readUntil(socket, "}");
            holdThreads();
            Fixture.send(socket, Fixture.rawHead("GET", "/health/live"));
            releaseAfter(2 * IDLE_TIMEOUT_MS);
            String response = Fixture.readUntil(socket, "}");
            assertTrue(response.startsWith("HTTP/1.1 200 "), response);
        }
    }

    /** Guards against refusing a body as late that has arrived in full. The body is read and refused as malformed. */
    @Test
    @Timeout(20)
    void bodyThatHasArrivedIsRead() throws Exception {
        try (Socket socket = fixture.connect()) {
            Fixture.send(socket, Fixture.rawHead("POST", CHAT_PATH, "Content-Length: 4") + "ab");
            Fixture.await(() -> fixture.metrics.counter("caller.open_requests").getCount() == 1);
            holdThreads();
            Fixture.send(socket, "cd");
            releaseAfter(2 * BODY_TIMEOUT_MS);
            String response = Fixture.readUntil(socket, "}");
            assertTrue(response.startsWith("HTTP/1.1 400 "), response);
        }
    }

    private void holdThreads() throws Exception {
        fixture.beforeHealth = () -> {
            if (held.add(Thread.currentThread())) {
                awaitRelease();
            }
        };
        for (int i = 0; i < HOLDING_CONNECTIONS; i++) {
            Socket socket = fixture.connect();
            holding.add(socket);
            Fixture.send(socket, Fixture.rawHead("GET", "/health/live"));
        }
        Fixture.await(() -> held.size() == IO_THREADS);
    }

    private void awaitRelease() {
        try {
            release.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void releaseAfter(long elapsedMs) throws InterruptedException {
        long sinceNs = System.nanoTime();
        Fixture.await(() -> System.nanoTime() - sinceNs > elapsedMs * 1_000_000);
        release.countDown();
    }
}
