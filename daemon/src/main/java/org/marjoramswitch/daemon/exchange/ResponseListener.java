package org.marjoramswitch.daemon.exchange;

import java.util.Map;
import org.marjoramswitch.kernel.error.Failure;

/**
 * Takes a request's answer on its way to the caller. Called in order by one thread at a time: head, any number of
 * bytes, then exactly one of complete and failure; a failure may come first. Never blocks.
 */
public interface ResponseListener {
    /** The request is sent to a target now, for the first time or again; comes before any head. */
    default void onSent() {}

    void onHead(int status, Map<String, String> headers);

    void onBytes(byte[] bytes);

    void onComplete();

    /** After a head this must reach the caller as a broken or marked answer, never as a complete one. */
    void onFailure(Failure failure);
}
