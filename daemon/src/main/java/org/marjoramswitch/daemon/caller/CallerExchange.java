package org.marjoramswitch.daemon.caller;

import io.undertow.server.HttpServerExchange;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.daemon.route.Route;
import org.marjoramswitch.kernel.error.Failure;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.PoolId;
import org.xnio.channels.StreamSourceChannel;

/** A caller's exchange on a request endpoint. Collects its properties; logs and counts its end exactly once. */
final class CallerExchange {
    private static final KeyValueLog LOG = KeyValueLog.of(CallerExchange.class);
    private static final String NONE = "-";

    private final HttpServerExchange exchange;
    private final CallerMetrics metrics;
    private final long startedMs;
    private @Nullable CustomerId customer;
    private @Nullable PoolId pool;
    private long requestId;
    private String callerRequestId = NONE;
    private String digest = NONE;
    private @Nullable Route route;
    private final LongestPause longestPause = new LongestPause();
    private long headMs;
    private long progressedMs;
    private int status;
    private @Nullable StreamSourceChannel requestChannel;
    private @Nullable RequestMemory memory;
    private boolean bodyComplete;
    private boolean ended;

    /** Written by the threads of the targets' connections. */
    private volatile int sends;

    private volatile String lastEventId = NONE;

    private CallerExchange(HttpServerExchange exchange, CallerMetrics metrics, long nowMs) {
        this.exchange = exchange;
        this.metrics = metrics;
        this.startedMs = nowMs;
        this.progressedMs = nowMs;
    }

    static CallerExchange begin(HttpServerExchange exchange, CallerMetrics metrics, long nowMs) {
        metrics.started();
        return new CallerExchange(exchange, metrics, nowMs);
    }

    HttpServerExchange http() {
        return exchange;
    }

    void setCustomer(CustomerId newCustomer) {
        customer = newCustomer;
    }

    /** The customer, or null before it is identified. */
    @Nullable
    CustomerId customer() {
        return customer;
    }

    /** Sets the request id that the caller gave, for the log. */
    void setCallerRequestId(String id) {
        callerRequestId = id;
    }

    /** Sets the request's digest (see {@link RequestDigest}), which does not depend on the id that the caller gave. */
    void setDigest(long requestDigest) {
        digest = Long.toHexString(requestDigest);
    }

    void setRoute(Route newRoute) {
        route = newRoute;
    }

    /** A chunk of the response arrived from the target. */
    void chunkReceived(long nowMs) {
        longestPause.onChunk(nowMs);
    }

    /** The request is being sent to a target. Called by one thread at a time. */
    @SuppressWarnings("NonAtomicVolatileUpdate")
    void sent() {
        sends++;
    }

    /** The stream received from targets so far ends with the event of this id. */
    void positionReached(String eventId) {
        lastEventId = eventId;
    }

    /** A part of the response was written to the caller. */
    void progressed(long nowMs) {
        progressedMs = nowMs;
    }

    /** Sets the memory that is reserved for the request. */
    RequestMemory setMemory(RequestMemory reserved) {
        memory = reserved;
        return reserved;
    }

    /** The memory that is reserved for the request, which begins with the reading of its body. */
    RequestMemory memory() {
        return Objects.requireNonNull(memory);
    }

    void setPool(PoolId newPool) {
        pool = newPool;
    }

    void setRequestId(long newRequestId) {
        requestId = newRequestId;
    }

    /** Returns the body's channel, which the exchange hands out only once. */
    StreamSourceChannel requestChannel() {
        if (requestChannel == null) {
            requestChannel = exchange.getRequestChannel();
        }
        return requestChannel;
    }

    /** The body's channel if it was already obtained, otherwise null. */
    @Nullable
    StreamSourceChannel openedRequestChannel() {
        return requestChannel;
    }

    /** The body was read to its end. */
    void onBodyComplete() {
        bodyComplete = true;
    }

    void onIoThread(Runnable task) {
        exchange.getIoThread().execute(task);
    }

    void afterMs(long delayMs, Runnable task) {
        exchange.getIoThread().executeAfter(task, delayMs, TimeUnit.MILLISECONDS);
    }

    void headWritten(int responseStatus, long nowMs) {
        status = responseStatus;
        headMs = nowMs;
    }

    /** Ends the exchange with a problem body. */
    void refuse(Failure failure, long nowMs) {
        headWritten(failure.type().httpStatus(), nowMs);
        boolean bodyRead = requestChannel == null ? exchange.isRequestComplete() : bodyComplete;
        long bytes = bodyRead
                ? Replies.sendProblem(exchange, failure, requestId)
                : LingeringClose.send(exchange, requestChannel, failure, requestId);
        end(new ResponseWriter.Result(ResponseWriter.Outcome.REFUSED, failure, bytes), nowMs);
    }

    void end(ResponseWriter.Result result, long nowMs) {
        if (ended) {
            return;
        }
        ended = true;
        long waitMs = (headMs == 0 ? nowMs : headMs) - startedMs;
        long totalMs = nowMs - startedMs;
        Failure failure = result.failure();
        metrics.ended(route, result, waitMs, totalMs, longestPause.longestMs());
        LOG.info(
                "request_ended",
                "requestId",
                requestId,
                "caller",
                callerRequestId,
                "digest",
                digest,
                "customer",
                customer == null ? NONE : customer,
                "route",
                route == null ? NONE : route.name(),
                "pool",
                pool == null ? NONE : pool,
                "status",
                status,
                "outcome",
                result.outcome(),
                "error",
                failure == null ? NONE : failure.type(),
                "run",
                failure == null ? NONE : failure.run().wireName(),
                "detail",
                failure == null || failure.detail().isEmpty() ? NONE : failure.detail(),
                "waitMs",
                waitMs,
                "pauseMs",
                longestPause.longestMs(),
                "totalMs",
                totalMs,
                "sinceProgressMs",
                nowMs - progressedMs,
                "progressTimeoutMs",
                route == null ? 0 : route.callerProgressTimeoutMs(),
                "bytes",
                result.bytes(),
                "sends",
                sends,
                "lastEventId",
                lastEventId,
                "connectionMs",
                CallerConnection.of(exchange).openMs(),
                "connectionRequests",
                CallerConnection.of(exchange).requests());
    }
}
