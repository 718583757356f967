package org.marjoramswitch.daemon.caller;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.route.Route;
import org.marjoramswitch.daemon.route.RouteKind;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.error.Failure;

/**
 * Metrics of the caller-facing server: in total, by outcome, by the error that ended a request and, on routes, by route
 * kind. All metrics are registered at the start, so callers cannot increase their number.
 */
final class CallerMetrics {
    private final Counter openRequests;
    private final Meter receivedRequests;
    private final Timer waits;
    private final Timer totals;
    private final Map<ResponseWriter.Outcome, Meter> outcomes = new EnumMap<>(ResponseWriter.Outcome.class);
    private final Meter cheapRejections;
    private final Meter unreadRejections;
    private final Map<ErrorType, Meter> errors = new EnumMap<>(ErrorType.class);
    private final Map<RouteKind, KindMetrics> kinds = new EnumMap<>(RouteKind.class);

    private CallerMetrics(MetricRegistry registry, MemoryBudget budget) {
        Gauge<Long> bufferedBytes = budget::usedBytes;
        registry.gauge("caller.buffered_bytes", () -> bufferedBytes);
        Gauge<Long> maxBufferedBytes = budget::maxBytes;
        registry.gauge("caller.buffered_bytes_max", () -> maxBufferedBytes);
        for (MemoryBudget.Kind kind : MemoryBudget.Kind.values()) {
            Gauge<Long> heldBytes = () -> budget.usedBytes(kind);
            Gauge<Long> peakBytes = () -> budget.peakBytes(kind);
            registry.gauge("caller.held_bytes." + kind.lowerName(), () -> heldBytes);
            registry.gauge("caller.held_bytes_peak." + kind.lowerName(), () -> peakBytes);
        }
        openRequests = registry.counter("caller.open_requests");
        receivedRequests = registry.meter("caller.requests");
        waits = registry.timer("caller.wait");
        totals = registry.timer("caller.total");
        cheapRejections = registry.meter("caller.cheap_rejections");
        unreadRejections = registry.meter("caller.cheap_rejections_unread");
        for (ResponseWriter.Outcome outcome : ResponseWriter.Outcome.values()) {
            outcomes.put(outcome, registry.meter("caller." + lower(outcome)));
        }
        for (ErrorType error : ErrorType.values()) {
            errors.put(error, registry.meter("caller.error." + lower(error)));
        }
        for (RouteKind kind : RouteKind.values()) {
            kinds.put(kind, KindMetrics.of(registry, "caller." + lower(kind)));
        }
    }

    static CallerMetrics of(MetricRegistry registry, MemoryBudget budget) {
        return new CallerMetrics(registry, budget);
    }

    long openRequests() {
        return openRequests.getCount();
    }

    void started() {
        openRequests.inc();
        receivedRequests.mark();
    }

    /** @param route null if the request matched none */
    void ended(@Nullable Route route, ResponseWriter.Result result, long waitMs, long totalMs, long pauseMs) {
        openRequests.dec();
        mark(outcomes.get(result.outcome()));
        if (result.failure() != null) {
            mark(errors.get(result.failure().type()));
        }
        waits.update(waitMs, TimeUnit.MILLISECONDS);
        totals.update(totalMs, TimeUnit.MILLISECONDS);
        KindMetrics kind = route == null ? null : kinds.get(route.kind());
        if (kind != null) {
            kind.ended(result.outcome(), waitMs, pauseMs);
        }
    }

    /**
     * Counts the end of a request that {@link CheapRejections} rejected. The timers are not updated: a sample of the
     * reservoir costs more than the rest, and thousands of rejections without a wait would displace the others.
     */
    void rejectedCheaply(Failure failure) {
        openRequests.dec();
        cheapRejections.mark();
        mark(outcomes.get(ResponseWriter.Outcome.REFUSED));
        mark(errors.get(failure.type()));
    }

    /** Counts a cheap rejection whose body had not arrived, so that its connection is closed. */
    void rejectedUnread() {
        unreadRejections.mark();
    }

    private static void mark(@Nullable Meter meter) {
        if (meter != null) {
            meter.mark();
        }
    }

    private static String lower(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }

    /**
     * Metrics of one route kind.
     *
     * @param firstBytes time to the first byte of complete responses
     * @param pauses longest pause within each complete response
     */
    private record KindMetrics(Meter answered, Meter others, Timer firstBytes, Timer pauses) {
        static KindMetrics of(MetricRegistry registry, String prefix) {
            return new KindMetrics(
                    registry.meter(prefix + ".answered"),
                    registry.meter(prefix + ".not_answered"),
                    registry.timer(prefix + ".first_byte"),
                    registry.timer(prefix + ".longest_pause"));
        }

        void ended(ResponseWriter.Outcome outcome, long waitMs, long pauseMs) {
            if (outcome != ResponseWriter.Outcome.ANSWERED) {
                others.mark();
                return;
            }
            answered.mark();
            firstBytes.update(waitMs, TimeUnit.MILLISECONDS);
            pauses.update(pauseMs, TimeUnit.MILLISECONDS);
        }
    }
}
