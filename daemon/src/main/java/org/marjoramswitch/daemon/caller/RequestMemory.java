package org.marjoramswitch.daemon.caller;

import org.marjoramswitch.daemon.caller.MemoryBudget.Kind;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.error.Failure;

/**
 * The memory that one request holds until its last attempt has ended: its body and an estimate of all else. Holds no
 * reference to the body. Used by one thread at a time.
 */
final class RequestMemory {
    /** Heads, channels and state of an exchange, its request and its attempt. */
    private static final long REQUEST_BYTES = 8 << 10;

    private final MemoryAccount account;
    private final long startedMs;
    private long requestBytes;
    private long bodyBytes;

    private RequestMemory(MemoryAccount account, long startedMs) {
        this.account = account;
        this.startedMs = startedMs;
    }

    static RequestMemory of(MemoryAccount account, long nowMs) {
        return new RequestMemory(account, nowMs);
    }

    MemoryAccount account() {
        return account;
    }

    /** Reserves what every request holds, and its body's declared length; false if both do not fit. */
    boolean tryBegin(long declaredBodyBytes) {
        if (!account.tryReserve(Kind.REQUESTS, REQUEST_BYTES)) {
            return false;
        }
        requestBytes = REQUEST_BYTES;
        if (declaredBodyBytes == 0 || tryAddBody(declaredBodyBytes)) {
            return true;
        }
        releaseAll();
        return false;
    }

    boolean tryAddBody(long bytes) {
        if (!account.tryReserve(Kind.REQUEST_BODIES, bytes)) {
            return false;
        }
        bodyBytes += bytes;
        return true;
    }

    void removeBody(long bytes) {
        bodyBytes -= bytes;
        account.release(Kind.REQUEST_BODIES, bytes);
    }

    /** The rejection of a request of which this many further bytes do not fit. */
    Failure rejection(long bytes) {
        return Failure.notRun(
                ErrorType.ENTRY_QUEUE_FULL, account.retryAfterMs(Kind.REQUEST_BODIES, REQUEST_BYTES + bytes), "memory");
    }

    /** Releases all memory of a request that was not run; without effect after the first release. */
    void releaseAll() {
        if (bodyBytes > 0) {
            account.release(Kind.REQUEST_BODIES, bodyBytes);
            bodyBytes = 0;
        }
        if (requestBytes > 0) {
            account.release(Kind.REQUESTS, requestBytes);
            requestBytes = 0;
        }
    }

    /** Releases all memory at the end of the request. */
    void end(long nowMs) {
        if (requestBytes > 0) {
            account.requestEnded(nowMs - startedMs);
        }
        releaseAll();
    }
}
