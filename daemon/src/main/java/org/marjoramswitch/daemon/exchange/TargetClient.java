package org.marjoramswitch.daemon.exchange;

import java.util.Map;
import org.marjoramswitch.kernel.model.TargetOutcome;
import org.marjoramswitch.kernel.model.Usage;
import org.marjoramswitch.kernel.settings.PoolSettings;
import org.marjoramswitch.kernel.settings.TargetSettings;

/** Sends calls to targets. */
public interface TargetClient {
    /** Starts one attempt. Never blocks and never retries. */
    Attempt start(TargetSettings target, PoolSettings pool, TargetCall call, AttemptListener listener);

    /** A running attempt. */
    interface Attempt {
        /** Aborts the attempt. Its listener still receives an end, CANCELLED unless another outcome came first. */
        void cancel();

        /** As {@link #cancel}, but first reads the parts of the response that have already arrived. */
        default void expire() {
            cancel();
        }

        /** Ends the attempt as silent, unless the target has sent something since {@link AttemptListener#onSilent}. */
        default void endSilent() {}
    }

    /** Receives the events of one attempt in order, on one thread at a time; exactly one {@code onEnd} comes last. */
    interface AttemptListener {
        void onHead(int status, Map<String, String> headers);

        /** Checks right before the request is sent whether the caller has disconnected; see {@link CallerCheck#check}. */
        default void checkCaller(CallerCheck.Result result) {
            result.accept(false);
        }

        /** The target reported its own status with the response; independent of the response's outcome. */
        default void onNotice(TargetStatusNotice notice) {}

        void onBytes(byte[] bytes);

        /** All complete events so far were passed on. The last one has this id, empty if it has none. */
        default void onPosition(String lastEventId) {}

        /**
         * Bytes were passed on that do not end with a complete event, so that no other response can continue them: a part of
         * an event, or of a response that is no stream of events.
         */
        default void onNotContinuable() {}

        /** The response holds {@code outputTokens} tokens so far. */
        void onProgress(long outputTokens);

        /**
         * The target has sent nothing for its progress timeout.
         *
         * @return true if the attempt goes on until {@link Attempt#endSilent} is called, false if it is to end now
         */
        default boolean onSilent() {
            return false;
        }

        /**
         * The attempt has ended. A response counts as started from the first {@code onBytes}; before that the outcomes
         * named BEFORE_ANSWER apply. The outcome is CONNECTION_REFUSED if the target refused it, and REFUSED if nothing
         * was sent otherwise or if the target reported that it did not start the request.
         */
        void onEnd(TargetOutcome outcome, Usage usage);
    }
}
