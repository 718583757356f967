package org.marjoramswitch.daemon.target;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.marjoramswitch.daemon.target.AttemptSpec.Purpose;
import org.marjoramswitch.kernel.model.TargetOutcome;

/** Metrics of the connections and attempts to targets. */
final class TargetMetrics {
    final Counter connectionsOpened;
    final Counter connectionsReused;
    /** Connections closed after a failed, timed out, cancelled or crossed exchange. */
    final Counter connectionsDiscarded;
    /** Idle connections closed because of their age, a full pool or suspected failure. */
    final Counter connectionsExpired;
    /** Pooled connections found closed before anything was sent, so that a new one was opened. */
    final Counter connectionsFoundDead;
    /** Responses that carried another request's id, or none where one is required. */
    final Counter responsesCrossed;
    /** Responses with an event that the target's protocol does not allow, see {@link EventRule}, or with invalid HTTP. */
    final Counter responsesInvalid;
    /** Connections closed because the target sent more bytes without a part of a body than {@link FramingLimit} allows. */
    final Counter framingExceeded;
    /** Responses that were ended because the memory for responses was exhausted; see {@link HeldResponses}. */
    final Counter responsesEvicted;

    /** Responses resumed over another connection. */
    final Counter responsesResumed;
    /** Cache events that were missed, by their sequence numbers, or malformed. */
    final Counter cacheEventGaps;
    /** Resets of a target's cache event sequence, as after a restart. */
    final Counter cacheEventRestarts;

    private final Map<Purpose, Map<TargetOutcome, Counter>> ends = new EnumMap<>(Purpose.class);
    private final Map<Purpose, Counter> bytes = new EnumMap<>(Purpose.class);

    private TargetMetrics(MetricRegistry registry) {
        connectionsOpened = registry.counter("targets.connections.opened");
        connectionsReused = registry.counter("targets.connections.reused");
        connectionsDiscarded = registry.counter("targets.connections.discarded");
        connectionsExpired = registry.counter("targets.connections.expired");
        connectionsFoundDead = registry.counter("targets.connections.found_dead");
        responsesCrossed = registry.counter("targets.answers.crossed");
        responsesInvalid = registry.counter("targets.answers.invalid");
        framingExceeded = registry.counter("targets.answers.framing_exceeded");
        responsesEvicted = registry.counter("targets.answers.evicted");
        responsesResumed = registry.counter("targets.answers.resumed");
        cacheEventGaps = registry.counter("targets.cache_events.gaps");
        cacheEventRestarts = registry.counter("targets.cache_events.restarts");
        for (Purpose purpose : Purpose.values()) {
            String group = purpose == Purpose.CALL ? "targets.attempts." : "targets.questions.";
            ends.put(purpose, endsIn(registry, group));
            bytes.put(purpose, registry.counter(group + "bytes"));
        }
    }

    private static Map<TargetOutcome, Counter> endsIn(MetricRegistry registry, String group) {
        Map<TargetOutcome, Counter> counters = new EnumMap<>(TargetOutcome.class);
        for (TargetOutcome outcome : TargetOutcome.values()) {
            counters.put(outcome, registry.counter(group + outcome.name().toLowerCase(Locale.ROOT)));
        }
        return counters;
    }

    static TargetMetrics in(MetricRegistry registry) {
        return new TargetMetrics(registry);
    }

    void ended(Purpose purpose, TargetOutcome outcome) {
        Map<TargetOutcome, Counter> counters = ends.get(purpose);
        Counter counter = counters == null ? null : counters.get(outcome);
        if (counter != null) {
            counter.inc();
        }
    }

    /** Bytes of HTTP written and read. */
    void bytes(Purpose purpose, long count) {
        Counter counter = bytes.get(purpose);
        if (counter != null) {
            counter.inc(count);
        }
    }
}
