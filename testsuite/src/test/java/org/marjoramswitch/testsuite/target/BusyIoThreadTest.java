package org.marjoramswitch.testsuite.target;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.marjoramswitch.daemon.exchange.TargetClient.Attempt;
import org.marjoramswitch.daemon.target.TargetClientOptions;
import org.marjoramswitch.kernel.model.TargetOutcome;

/** Attempts on an I/O thread that is busy while their sockets become ready. */
@Timeout(30)
class BusyIoThreadTest {
    private static final long PROGRESS_TIMEOUT_MS = 300;
    private static final long LONG_TIMEOUT_MS = 15_000;

    /** Longer than the time within which a connection must open. */
    private static final long BUSY_MS = 1_500;

    private final CountDownLatch idle = new CountDownLatch(1);
    private TargetFixture fixture;
    private ServerSocket listening;

    @BeforeEach
    void start() throws IOException {
        fixture = new TargetFixture(TargetClientOptions.defaults());
        listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void stop() throws IOException {
        idle.countDown();
        fixture.close();
        listening.close();
    }

    /** Guards against ending an attempt as silent by a decision that is older than the bytes that have arrived since. */
    @Test
    void responseThatArrivedBeforeTheSilentAttemptWasEndedIsRead() throws Exception {
        SilentAttempt recorded = new SilentAttempt();
        Attempt attempt = fixture.start(listening.getLocalPort(), PROGRESS_TIMEOUT_MS, fixture.serviceCall(), recorded);
        try (Socket target = listening.accept()) {
            write(target, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\none");
            recorded.silent.await();
            CountDownLatch busy = new CountDownLatch(1);
            fixture.ioThread().execute(() -> {
                busy.countDown();
                occupy(LONG_TIMEOUT_MS);
            });
            busy.await();
            write(target, "two");
            attempt.endSilent();
            idle.countDown();
            assertEquals(TargetOutcome.COMPLETED, recorded.outcome());
            assertEquals("onetwo", recorded.text());
        }
    }

    /** Guards against taking a target for unreachable whose connection opened while the I/O thread was busy. */
    @Test
    void connectionThatOpenedInTimeIsUsed() throws Exception {
        RecordedAttempt recorded = new RecordedAttempt();
        fixture.ioThread().execute(() -> {
            fixture.start(listening.getLocalPort(), LONG_TIMEOUT_MS, fixture.serviceCall(), recorded);
            fixture.ioThread().execute(() -> occupy(BUSY_MS));
        });
        try (Socket target = listening.accept()) {
            write(target, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none");
            assertEquals(TargetOutcome.COMPLETED, recorded.outcome());
        }
    }

    private static void write(Socket target, String text) throws IOException {
        target.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private void occupy(long maxMs) {
        try {
            boolean unused = idle.await(maxMs, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** An attempt that goes on while its target is silent. */
    private static final class SilentAttempt extends RecordedAttempt {
        private final CountDownLatch silent = new CountDownLatch(1);

        @Override
        public boolean onSilent() {
            silent.countDown();
            return true;
        }
    }
}
