package org.marjoramswitch.daemon.exchange;

import java.util.Map;
import org.marjoramswitch.kernel.model.TargetOutcome;
import org.marjoramswitch.kernel.model.Usage;
import org.marjoramswitch.kernel.settings.PoolSettings;
import org.marjoramswitch.kernel.settings.TargetSettings;

/** Sends calls to targets. */
public interface TargetClient {
    /** Starts one attempt; never blocks and never retries by itself. */
    Attempt start(TargetSettings target, PoolSettings pool, TargetCall call, AttemptListener listener);

    /** One running attempt. */
    interface Attempt {
        /** Cuts the attempt; its listener still gets an end, with outcome CANCELLED where nothing else came first. */
        void cancel();
    }

    /** Follows one attempt; called in order by one thread at a time, ended by exactly one {@code onEnd}. */
    interface AttemptListener {
        void onHead(int status, Map<String, String> headers);

        /** The target says this of itself beside its answer, whatever becomes of the answer. */
        default void onNotice(TargetStatusNotice notice) {}

        void onBytes(byte[] bytes);

        /** All whole events so far have gone to the listener; the last of them has this id, empty where it has none. */
        default void onPosition(String lastEventId) {}

        /** The answer holds {@code outputTokens} so far. */
        void onProgress(long outputTokens);

        /**
         * The attempt is over. Whether an answer has begun is judged by the first {@code onBytes}: before it the
         * outcomes are the ones named BEFORE_ANSWER. Where nothing was sent, or the target said that it did not start
         * the request, the outcome is REFUSED.
         */
        void onEnd(TargetOutcome outcome, Usage usage);
    }
}
