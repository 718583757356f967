package org.marjoramswitch.daemon.caller;

import io.undertow.server.HttpServerExchange;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.daemon.route.Route;
import org.marjoramswitch.kernel.error.Failure;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.PoolId;
import org.xnio.channels.StreamSourceChannel;

/** One caller's exchange on a request endpoint: what is known of it so far, and its end, logged and counted once. */
final class CallerExchange {
    private static final KeyValueLog LOG = KeyValueLog.of(CallerExchange.class);
    private static final String NONE = "-";

    private final HttpServerExchange exchange;
    private final CallerMetrics metrics;
    private final long beganMs;
    private @Nullable CustomerId customer;
    private @Nullable PoolId pool;
    private long requestId;
    private String callerName = NONE;
    private String digest = NONE;
    private @Nullable Route route;
    private final LongestPause pause = new LongestPause();
    private long headMs;
    private int status;
    private @Nullable StreamSourceChannel requestChannel;
    private boolean bodyTaken;
    private boolean ended;

    private CallerExchange(HttpServerExchange exchange, CallerMetrics metrics, long nowMs) {
        this.exchange = exchange;
        this.metrics = metrics;
        this.beganMs = nowMs;
    }

    static CallerExchange begin(HttpServerExchange exchange, CallerMetrics metrics, long nowMs) {
        metrics.began();
        return new CallerExchange(exchange, metrics, nowMs);
    }

    HttpServerExchange http() {
        return exchange;
    }

    void identify(CustomerId ofCustomer) {
        customer = ofCustomer;
    }

    /** The customer, null before it was identified. */
    @Nullable
    CustomerId customer() {
        return customer;
    }

    /** The caller's own name for the request, for the log. */
    void named(String name) {
        callerName = name;
    }

    /** What the request is told by, whatever its caller names it: the same for requests that are alike. */
    void digested(long requestDigest) {
        digest = Long.toHexString(requestDigest);
    }

    void assign(Route toRoute) {
        route = toRoute;
    }

    /** A part of the answer came from the target. */
    void partAt(long nowMs) {
        pause.heard(nowMs);
    }

    void assign(PoolId toPool) {
        pool = toPool;
    }

    void assign(long toRequestId) {
        requestId = toRequestId;
    }

    /** The body's channel; the exchange gives it out only once. */
    StreamSourceChannel requestChannel() {
        if (requestChannel == null) {
            requestChannel = exchange.getRequestChannel();
        }
        return requestChannel;
    }

    /** The body was read to its end. */
    void bodyTaken() {
        bodyTaken = true;
    }

    void onIoThread(Runnable task) {
        exchange.getIoThread().execute(task);
    }

    void afterMs(long delayMs, Runnable task) {
        exchange.getIoThread().executeAfter(task, delayMs, TimeUnit.MILLISECONDS);
    }

    void headAt(int answerStatus, long nowMs) {
        status = answerStatus;
        headMs = nowMs;
    }

    /** Ends the exchange with a problem body. */
    void refuse(Failure failure, long nowMs) {
        headAt(failure.type().httpStatus(), nowMs);
        boolean bodyRead = requestChannel == null ? exchange.isRequestComplete() : bodyTaken;
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
        long waitMs = (headMs == 0 ? nowMs : headMs) - beganMs;
        long totalMs = nowMs - beganMs;
        Failure failure = result.failure();
        metrics.ended(route, result, waitMs, totalMs, pause.longestMs());
        LOG.info(
                "request_ended",
                "requestId",
                requestId,
                "caller",
                callerName,
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
                pause.longestMs(),
                "totalMs",
                totalMs,
                "bytes",
                result.bytes());
    }
}
