package org.marjoramswitch.daemon.caller;

import java.util.Map;
import org.marjoramswitch.daemon.exchange.CallerCheck;
import org.marjoramswitch.daemon.exchange.ResponseListener;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.error.Failure;

/**
 * Replaces a target's rejection of a request that may be executed once only by a failure with an unknown run state.
 *
 * <p>A rejection that states that the request was not executed ends the attempt and never arrives here. Any other one
 * leaves open whether the request was executed, while callers on routes understand its status as a guarantee that it
 * was not. The failure has a status without that guarantee, and none of the target's headers.
 */
final class RejectionGuard implements ResponseListener {
    private final ResponseListener caller;
    private boolean replaced;

    private RejectionGuard(ResponseListener caller) {
        this.caller = caller;
    }

    static RejectionGuard before(ResponseListener caller) {
        return new RejectionGuard(caller);
    }

    @Override
    public void onSent() {
        caller.onSent();
    }

    @Override
    public void checkCaller(CallerCheck.Result result) {
        caller.checkCaller(result);
    }

    @Override
    public void onHead(int status, Map<String, String> headers) {
        if (!FailureStatus.guaranteesNotRun(status)) {
            caller.onHead(status, headers);
            return;
        }
        replaced = true;
        caller.onFailure(Failure.unknown(ErrorType.TARGET_REFUSED, "status " + status));
    }

    @Override
    public void onBytes(byte[] bytes) {
        if (!replaced) {
            caller.onBytes(bytes);
        }
    }

    @Override
    public void onComplete() {
        if (!replaced) {
            caller.onComplete();
        }
    }

    @Override
    public void onFailure(Failure failure) {
        if (!replaced) {
            caller.onFailure(failure);
        }
    }
}
