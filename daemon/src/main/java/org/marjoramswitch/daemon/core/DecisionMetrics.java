package org.marjoramswitch.daemon.core;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.marjoramswitch.kernel.event.Event;

/** Metrics of the decision loop. */
final class DecisionMetrics {
    private static final String PREFIX = "decision";

    private final MetricRegistry registry;
    private final Map<Class<?>, Counter> taken = new ConcurrentHashMap<>();
    private final Map<Class<?>, Counter> refused = new ConcurrentHashMap<>();
    private final Timer decisionTime;
    private final Timer ringTime;
    private final Counter faults;

    private DecisionMetrics(MetricRegistry registry) {
        this.registry = registry;
        this.decisionTime = registry.timer(MetricRegistry.name(PREFIX, "time"));
        this.ringTime = registry.timer(MetricRegistry.name(PREFIX, "ring", "wait"));
        this.faults = registry.counter(MetricRegistry.name(PREFIX, "faults"));
    }

    static DecisionMetrics of(MetricRegistry registry, EventRing ring, OpenRequests requests) {
        Gauge<Integer> depth = ring::size;
        Gauge<Integer> open = requests::open;
        Gauge<Integer> waiting = requests::waiting;
        registry.register(MetricRegistry.name(PREFIX, "ring", "depth"), depth);
        registry.register(MetricRegistry.name("requests", "open"), open);
        registry.register(MetricRegistry.name("requests", "waiting"), waiting);
        return new DecisionMetrics(registry);
    }

    void countTaken(Event event) {
        taken.computeIfAbsent(event.getClass(), type -> counter("events", type)).inc();
    }

    void countRefused(Event event) {
        refused.computeIfAbsent(event.getClass(), type -> counter("refused", type))
                .inc();
    }

    void countFault() {
        faults.inc();
    }

    Timer decisionTime() {
        return decisionTime;
    }

    Timer ringTime() {
        return ringTime;
    }

    private Counter counter(String group, Class<?> type) {
        String name =
                type.getSimpleName().replaceAll("(?<=[a-z])(?=[A-Z])", "_").toLowerCase(Locale.ROOT);
        return registry.counter(MetricRegistry.name(PREFIX, group, name));
    }
}
