package org.marjoramswitch.daemon.caller;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.marjoramswitch.daemon.exchange.RequestSubmitter;
import org.marjoramswitch.daemon.exchange.ResponseListener;
import org.marjoramswitch.daemon.exchange.TargetCall;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.error.Failure;
import org.marjoramswitch.kernel.model.RequestSpec;

/** Passes submitted requests to the test, which acts as their targets. */
final class FakeRequestSubmitter implements RequestSubmitter {
    private final AtomicLong lastRequestId = new AtomicLong();
    private final BlockingQueue<Submitted> submitted = new LinkedBlockingQueue<>();
    private final Map<Long, ResponseListener> listeners = new ConcurrentHashMap<>();
    final Set<Long> callersGone = ConcurrentHashMap.newKeySet();

    record Submitted(RequestSpec spec, TargetCall call, ResponseListener response) {
        void head(int status, String contentType) {
            response.onHead(status, Map.of("Content-Type", contentType, "Connection", "close"));
        }

        void bytes(String text) {
            response.onBytes(text.getBytes(java.nio.charset.StandardCharsets.UTF_8));
        }

        void respond(int status, String contentType, String text) {
            head(status, contentType);
            bytes(text);
            response.onComplete();
        }
    }

    @Override
    public long nextRequestId() {
        return lastRequestId.incrementAndGet();
    }

    @Override
    public void submit(RequestSpec request, TargetCall call, ResponseListener listener) {
        listeners.put(request.requestId(), listener);
        submitted.add(new Submitted(request, call, listener));
    }

    @Override
    public void callerGone(long requestId) {
        callersGone.add(requestId);
        listeners.get(requestId).onFailure(Failure.unknown(ErrorType.CALLER_GONE, ""));
    }

    Submitted next() throws InterruptedException {
        Submitted next = submitted.poll(10, TimeUnit.SECONDS);
        if (next == null) {
            throw new AssertionError("nothing was submitted");
        }
        return next;
    }

    boolean nothingSubmitted() {
        return submitted.isEmpty();
    }
}
