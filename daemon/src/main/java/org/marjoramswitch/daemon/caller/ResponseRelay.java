package org.marjoramswitch.daemon.caller;

import java.util.Map;
import java.util.function.UnaryOperator;
import org.marjoramswitch.daemon.exchange.CallerCheck;
import org.marjoramswitch.daemon.exchange.ResponseListener;
import org.marjoramswitch.kernel.error.Failure;

/**
 * Forwards a response to its buffer without the headers that are not for the caller.
 *
 * @param failureMapper maps a failure to the one reported to the caller
 * @param callerCheck checks whether the caller has disconnected, so that its request is not needed any more
 */
record ResponseRelay(
        ResponseBuffer buffer, Progress progress, UnaryOperator<Failure> failureMapper, CallerCheck callerCheck)
        implements ResponseListener {
    /** Receives the progress of a request. */
    interface Progress {
        Progress NONE = new Progress() {};

        default void onSent() {}

        default void onResponseStarted() {}

        default void onChunk() {}

        default void onPosition(String lastEventId) {}
    }

    @Override
    public void checkCaller(CallerCheck.Result result) {
        callerCheck.check(result);
    }

    @Override
    public void onSent() {
        progress.onSent();
    }

    @Override
    public void onHead(int status, Map<String, String> headers) {
        progress.onResponseStarted();
        buffer.onHead(status, ForwardedHeaders.toCaller(headers));
    }

    @Override
    public void onBytes(byte[] bytes) {
        progress.onChunk();
        buffer.onBytes(bytes);
    }

    @Override
    public void onPosition(String lastEventId) {
        progress.onPosition(lastEventId);
    }

    @Override
    public void onComplete() {
        buffer.onComplete();
    }

    @Override
    public void onFailure(Failure failure) {
        buffer.onFailure(failureMapper.apply(failure));
    }
}
