package org.marjoramswitch.daemon.caller;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import org.marjoramswitch.daemon.log.KeyValueLog;

/**
 * Counts the ends of callers' connections by cause, and logs those that leave a request without its complete response.
 * Thread-safe.
 */
final class ConnectionEnds {
    private static final KeyValueLog LOG = KeyValueLog.of(ConnectionEnds.class);

    private final Map<Cause, Counter> ended = new EnumMap<>(Cause.class);
    private final Map<Cause, Counter> unanswered = new EnumMap<>(Cause.class);

    private volatile boolean shutDown;

    private ConnectionEnds(MetricRegistry metrics) {
        for (Cause cause : Cause.values()) {
            String name = cause.name().toLowerCase(Locale.ROOT);
            ended.put(cause, metrics.counter("caller.connections_ended." + name));
            unanswered.put(cause, metrics.counter("caller.connections_ended_unanswered." + name));
        }
    }

    static ConnectionEnds of(MetricRegistry metrics) {
        return new ConnectionEnds(metrics);
    }

    /** Why a connection ended. */
    enum Cause {
        /** The caller closed its sending side, or all of the connection. */
        CALLER_CLOSED(true),
        /** Reading or writing failed, mostly because the caller reset the connection. */
        RESET(true),
        IDLE_LIMIT(false),
        HEAD_TIMEOUT(false),
        HEAD_TOO_LARGE(false),
        /** The chunk extensions and trailers of a body were larger than a head may be. */
        BODY_FRAMING_TOO_LARGE(false),
        /** The server was closed. */
        SHUTDOWN(false),
        /** The instance closed the connection after a complete response, as it had announced. */
        AFTER_RESPONSE(false),
        /** The instance closed the connection within a response. */
        RESPONSE_CUT(false),
        /** The head was not HTTP, or too large for the parser; Undertow has answered 400. */
        MALFORMED_HEAD(false),
        /** The instance closed the connection before a response for another reason. */
        REQUEST_DROPPED(false);

        private final boolean byCaller;

        Cause(boolean byCaller) {
            this.byCaller = byCaller;
        }
    }

    /**
     * What had been transferred for a request whose response was not completed.
     *
     * @param callerRequestId the id that the caller gave, empty if it was not read
     * @param receivedBytes bytes received since the beginning of the request
     * @param wholeRequest whether the request had been read completely
     * @param deliveredBytes bytes of the response that the socket accepted
     * @param unreadAtMostMs time since the socket was last read, for which input may have been waiting
     */
    record Unanswered(
            String peer,
            String callerRequestId,
            long receivedBytes,
            boolean wholeRequest,
            long deliveredBytes,
            long unreadAtMostMs) {}

    /** The server is about to close all connections. */
    void shutDown() {
        shutDown = true;
    }

    boolean isShutDown() {
        return shutDown;
    }

    /** A connection ended while no request was outstanding. */
    void endedIdle(Cause cause) {
        Objects.requireNonNull(ended.get(cause)).inc();
    }

    void endedUnanswered(Cause cause, Unanswered request) {
        Objects.requireNonNull(ended.get(cause)).inc();
        Objects.requireNonNull(unanswered.get(cause)).inc();
        LOG.info(
                "connection_ended",
                "by",
                cause.byCaller ? "caller" : "instance",
                "cause",
                cause,
                "peer",
                request.peer(),
                "caller",
                request.callerRequestId().isEmpty() ? "-" : request.callerRequestId(),
                "receivedBytes",
                request.receivedBytes(),
                "wholeRequest",
                request.wholeRequest(),
                "deliveredBytes",
                request.deliveredBytes(),
                "unreadAtMostMs",
                request.unreadAtMostMs());
    }
}
