package org.marjoramswitch.daemon.target;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.conduits.ConduitStreamSourceChannel;

class ProgressDeadlineTest {
    private static final long TIMEOUT_MS = 50;
    private static final long BLOCKED_MS = 2 * TIMEOUT_MS;

    private final AtomicLong clockMs = new AtomicLong();
    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    private XnioWorker worker;
    private ServerSocket server;

    @BeforeEach
    void start() throws IOException {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void stop() throws IOException {
        worker.shutdownNow();
        server.close();
    }

    /** Guards against taking a target for silent whose bytes have arrived, but wait for an I/O thread that is behind. */
    @Test
    void bytesThatWaitForTheThreadAreProgress() throws Exception {
        StreamConnection connection = worker.openStreamConnection(
                        new InetSocketAddress(server.getInetAddress(), server.getLocalPort()), null, OptionMap.EMPTY)
                .get();
        XnioIoThread thread = connection.getIoThread();
        CountDownLatch blocked = new CountDownLatch(1);
        try (Socket target = server.accept()) {
            thread.execute(() -> {
                ProgressDeadline deadline = ProgressDeadline.of(
                        thread, ReadBarrier.of(thread), clockMs::get, TIMEOUT_MS, () -> events.add("silent"));
                deadline.start();
                connection.getSourceChannel().setReadListener(source -> read(source, deadline));
                connection.getSourceChannel().resumeReads();
                thread.execute(() -> block(blocked));
            });
            blocked.await();
            clockMs.set(BLOCKED_MS);
            target.getOutputStream().write(1);
            assertEquals("progress", events.poll(10, TimeUnit.SECONDS));
        }
    }

    private void read(ConduitStreamSourceChannel source, ProgressDeadline deadline) {
        try {
            if (source.read(ByteBuffer.allocate(1)) > 0) {
                deadline.progress();
                events.add("progress");
            }
        } catch (IOException e) {
            events.add(e.toString());
        }
    }

    private static void block(CountDownLatch blocked) {
        blocked.countDown();
        try {
            Thread.sleep(BLOCKED_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
