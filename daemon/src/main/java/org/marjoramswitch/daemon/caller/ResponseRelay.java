package org.marjoramswitch.daemon.caller;

import java.util.Map;
import java.util.function.UnaryOperator;
import org.marjoramswitch.daemon.exchange.ResponseListener;
import org.marjoramswitch.kernel.error.Failure;

/**
 * Passes an answer on from the gate, without the headers that are not for the caller.
 *
 * @param told makes of a failure what the caller is told
 */
record ResponseRelay(ResponseBuffer buffer, Progress progress, UnaryOperator<Failure> told) implements ResponseListener {
    /** Hears how far the request has come. */
    interface Progress {
        Progress NONE = new Progress() {};

        default void onSent() {}

        default void onAnswering() {}

        default void onPart() {}
    }

    @Override
    public void onSent() {
        progress.onSent();
    }

    @Override
    public void onHead(int status, Map<String, String> headers) {
        progress.onAnswering();
        buffer.onHead(status, ForwardedHeaders.toCaller(headers));
    }

    @Override
    public void onBytes(byte[] bytes) {
        progress.onPart();
        buffer.onBytes(bytes);
    }

    @Override
    public void onComplete() {
        buffer.onComplete();
    }

    @Override
    public void onFailure(Failure failure) {
        buffer.onFailure(told.apply(failure));
    }
}
