package org.marjoramswitch.daemon.exchange;

import org.marjoramswitch.kernel.model.RequestSpec;

/** Where the callers' side hands over a request that was read whole. */
public interface RequestSubmitter {
    /** A request id that this incarnation has not used yet. */
    long nextRequestId();

    /** Queues the request; the listener gets its answer or failure. Never blocks. */
    void submit(RequestSpec request, TargetCall call, ResponseListener listener);

    /** The caller of a request has gone; its listener still gets an end. */
    void callerGone(long requestId);
}
