package org.marjoramswitch.daemon.caller;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import org.marjoramswitch.daemon.caller.MemoryBudget.Kind;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.error.Failure;

/**
 * The memory that one request holds until its last attempt has ended: its body and an estimate of all else. Holds no
 * reference to the body. Used by one thread at a time.
 */
final class RequestMemory {
    /** Heads, channels and state of an exchange, its request and its attempt; a head up to {@link #USUAL_HEAD_BYTES}. */
    private static final long REQUEST_BYTES = 8 << 10;

    private static final int USUAL_HEAD_BYTES = 2 << 10;
    /** A header is held as it was received and as it is sent to the target. */
    private static final int HEADER_FACTOR = 2;
    /** An object that is decoded for an item of a list, such as a part of a prompt, which may have a few bytes only. */
    private static final int ITEM_BYTES = 64;

    private final MemoryAccount account;
    private final long startedMs;
    private final long headBytes;
    private long requestBytes;
    private long bodyBytes;

    private RequestMemory(MemoryAccount account, long startedMs, long headBytes) {
        this.account = account;
        this.startedMs = startedMs;
        this.headBytes = headBytes;
    }

    static RequestMemory of(MemoryAccount account, long nowMs) {
        return new RequestMemory(account, nowMs, 0);
    }

    /** The memory of a request with this head, which may be large. */
    static RequestMemory of(MemoryAccount account, long nowMs, HttpServerExchange exchange) {
        boolean isUsual = CallerConnection.of(exchange).requestBytes() <= USUAL_HEAD_BYTES;
        return new RequestMemory(account, nowMs, isUsual ? 0 : headBytes(exchange));
    }

    /** An estimate of what a large head takes beyond a usual one. */
    private static long headBytes(HttpServerExchange exchange) {
        long bytes = (long) exchange.getRequestURI().length()
                + exchange.getQueryString().length();
        long items = 0;
        for (HeaderValues values : exchange.getRequestHeaders()) {
            for (String value : values) {
                bytes += value.length();
                items += value.chars().filter(each -> each == ',').count();
            }
        }
        return bytes <= USUAL_HEAD_BYTES ? 0 : HEADER_FACTOR * bytes + ITEM_BYTES * items;
    }

    MemoryAccount account() {
        return account;
    }

    /** Reserves what every request holds, and its body's declared length; false if both do not fit. */
    boolean tryBegin(long declaredBodyBytes) {
        if (!account.tryReserve(Kind.REQUESTS, REQUEST_BYTES + headBytes)) {
            return false;
        }
        requestBytes = REQUEST_BYTES + headBytes;
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
                ErrorType.ENTRY_QUEUE_FULL,
                account.retryAfterMs(Kind.REQUEST_BODIES, REQUEST_BYTES + headBytes + bytes),
                "memory");
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
