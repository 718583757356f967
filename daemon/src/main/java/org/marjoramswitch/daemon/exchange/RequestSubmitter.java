package org.marjoramswitch.daemon.exchange;

import org.marjoramswitch.kernel.model.RequestSpec;

/** Accepts completely received requests for scheduling. */
public interface RequestSubmitter {
    /** Returns a request id that is unique within this incarnation of the instance. */
    long nextRequestId();

    /** Queues the request; the listener receives its response or failure. Never blocks. */
    void submit(RequestSpec request, TargetCall call, ResponseListener listener);

    /** Reports that the caller of a request has disconnected; the request's listener still receives an end. */
    void callerGone(long requestId);
}
