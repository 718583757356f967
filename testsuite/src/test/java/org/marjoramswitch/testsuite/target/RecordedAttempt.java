package org.marjoramswitch.testsuite.target;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.marjoramswitch.daemon.exchange.TargetClient.AttemptListener;
import org.marjoramswitch.kernel.model.TargetOutcome;
import org.marjoramswitch.kernel.model.Usage;

/** Records everything that one attempt reports to its listener. */
class RecordedAttempt implements AttemptListener {
    private static final long TIMEOUT_S = 20;

    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final CountDownLatch firstBytes = new CountDownLatch(1);
    private final CompletableFuture<TargetOutcome> end = new CompletableFuture<>();
    private volatile int status;
    private volatile long progress;
    private volatile Usage usage = Usage.NONE;

    @Override
    public void onHead(int headStatus, Map<String, String> headers) {
        status = headStatus;
    }

    @Override
    public synchronized void onBytes(byte[] bytes) {
        body.writeBytes(bytes);
        firstBytes.countDown();
    }

    @Override
    public void onProgress(long outputTokens) {
        progress = outputTokens;
    }

    @Override
    public void onEnd(TargetOutcome outcome, Usage endUsage) {
        usage = endUsage;
        if (!end.complete(outcome)) {
            throw new IllegalStateException("second end of an attempt: " + outcome);
        }
    }

    TargetOutcome outcome() throws Exception {
        return end.get(TIMEOUT_S, TimeUnit.SECONDS);
    }

    /** Blocks until the first bytes of the response have been received. */
    void awaitFirstBytes() throws InterruptedException {
        if (!firstBytes.await(TIMEOUT_S, TimeUnit.SECONDS)) {
            throw new IllegalStateException("no response in time");
        }
    }

    /** Status of the response; 0 until its head has been received. */
    int status() {
        return status;
    }

    long progress() {
        return progress;
    }

    Usage usage() {
        return usage;
    }

    synchronized String text() {
        return body.toString(StandardCharsets.UTF_8);
    }
}
