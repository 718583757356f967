package org.marjoramswitch.daemon.exchange;

import java.util.Map;
import org.marjoramswitch.kernel.error.Failure;

/**
 * Receives a request's response on its way to the caller. Called by one thread at a time in this order: head, any
 * number of byte chunks, then exactly one of complete and failure. A failure may come first. Implementations must not
 * block.
 */
public interface ResponseListener {
    /** The request is being sent to a target, for the first time or as a retry. Precedes any head. */
    default void onSent() {}

    void onHead(int status, Map<String, String> headers);

    /** Checks whether the caller has disconnected; see {@link CallerCheck#check}. */
    default void checkCaller(CallerCheck.Result result) {
        result.accept(false);
    }

    void onBytes(byte[] bytes);

    /** The bytes so far end with a complete event of a stream, which has this id. */
    default void onPosition(String lastEventId) {}

    void onComplete();

    /** After a head the caller must see a broken connection or an error marker, never a complete response. */
    void onFailure(Failure failure);
}
