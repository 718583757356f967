package org.marjoramswitch.daemon.target;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.marjoramswitch.kernel.event.Event;
import org.marjoramswitch.kernel.event.Event.PrefixCached;
import org.marjoramswitch.kernel.event.Event.TargetReported;
import org.marjoramswitch.kernel.model.LoadReport;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.settings.TargetSettings;
import org.xnio.XnioExecutor;

/**
 * Reads load reports and cache events off the targets that this instance watches. Runs on the client's IO threads, on
 * which the consumer is called; it must not block. A target that has not answered one question is not asked the
 * next, so a slow target costs one connection.
 *
 * <p>A report is dated from before the question was sent, less the age that the target gives: the way there and back
 * makes it look older than it is, never fresher.
 */
public final class LoadReader implements AutoCloseable {
    private static final String LOAD_PATH = "/v1/load";
    private static final String CACHE_EVENTS_PATH = "/v1/cache/events?after=";
    private static final int HEX = 16;

    private final TargetConnector connector;
    private final LoadReaderOptions options;
    private final LongSupplier clockMs;
    private final Supplier<? extends Collection<TargetSettings>> targets;
    private final Consumer<Event> events;
    private final Map<TargetId, Watch> watches = new ConcurrentHashMap<>();
    private final XnioExecutor.Key asking;

    private LoadReader(
            TargetConnector connector,
            LoadReaderOptions options,
            LongSupplier clockMs,
            Supplier<? extends Collection<TargetSettings>> targets,
            Consumer<Event> events) {
        this.connector = connector;
        this.options = options;
        this.clockMs = clockMs;
        this.targets = targets;
        this.events = events;
        this.asking =
                connector.anyThread().executeAtInterval(this::askAll, options.loadEveryMs(), TimeUnit.MILLISECONDS);
    }

    /**
     * Starts to read.
     *
     * @param clockMs the time that reports are dated by
     * @param targets the model engines to watch, asked for anew each time; may be called on any thread
     * @param events takes {@link TargetReported} and {@link PrefixCached}
     */
    public static LoadReader start(
            UndertowTargetClient client,
            LoadReaderOptions options,
            LongSupplier clockMs,
            Supplier<? extends Collection<TargetSettings>> targets,
            Consumer<Event> events) {
        return new LoadReader(client.connector(), options, clockMs, targets, events);
    }

    @Override
    public void close() {
        asking.remove();
        watches.clear();
    }

    private void askAll() {
        watch(targets.get());
        long nowMs = clockMs.getAsLong();
        watches.values().forEach(watch -> ask(watch, nowMs));
    }

    private void watch(Collection<TargetSettings> wanted) {
        watches.values().removeIf(watch -> !wanted.contains(watch.target));
        wanted.forEach(target -> watches.computeIfAbsent(target.id(), id -> new Watch(target)));
    }

    private void ask(Watch watch, long nowMs) {
        if (!watch.awaitsLoad) {
            watch.awaitsLoad = true;
            TargetQuery.ask(
                    connector, watch.target, LOAD_PATH, options.timeoutMs(), answer -> takeLoad(watch, answer, nowMs));
        }
        if (!watch.awaitsEvents && nowMs >= watch.eventsDueMs) {
            watch.awaitsEvents = true;
            watch.eventsDueMs = nowMs + options.cacheEventsEveryMs();
            String path = CACHE_EVENTS_PATH + watch.lastSequence;
            TargetQuery.ask(connector, watch.target, path, options.timeoutMs(), answer -> takeEvents(watch, answer));
        }
    }

    private void takeLoad(Watch watch, TargetQuery.Answer answer, long askedAtMs) {
        watch.awaitsLoad = false;
        JsonNode json = answer.json();
        if (!json.path("running").isInt() || !isWatched(watch)) {
            return;
        }
        long measuredAtMs = askedAtMs - Math.max(0, json.path("ageMs").asLong());
        LoadReport report = LoadReport.of(
                measuredAtMs,
                Math.max(0, json.path("running").asInt()),
                Math.max(0, json.path("queued").asInt()),
                Math.max(0, json.path("maxBatch").asInt()));
        events.accept(new TargetReported(watch.target.id(), report));
    }

    private void takeEvents(Watch watch, TargetQuery.Answer answer) {
        watch.awaitsEvents = false;
        if (!answer.json().path("events").isArray() || !isWatched(watch)) {
            return;
        }
        if (answer.json().path("last").asLong(Long.MAX_VALUE) < watch.lastSequence) {
            // The target counts anew, so it has restarted: without this its first events would count as seen.
            connector.metrics().cacheEventRestarts.inc();
            watch.lastSequence = 0;
            return;
        }
        answer.json().path("events").forEach(event -> takeEvent(watch, event));
    }

    private void takeEvent(Watch watch, JsonNode event) {
        long sequence = event.path("sequence").asLong();
        if (sequence <= watch.lastSequence) {
            return;
        }
        connector.metrics().cacheEventGaps.inc(sequence - watch.lastSequence - 1);
        watch.lastSequence = sequence;
        try {
            long prefixHash = Long.parseUnsignedLong(event.path("prefix").asText(), HEX);
            events.accept(new PrefixCached(
                    watch.target.id(), prefixHash, event.path("present").asBoolean()));
        } catch (NumberFormatException e) {
            // An event that cannot be read is as good as one that never came.
            connector.metrics().cacheEventGaps.inc();
        }
    }

    private boolean isWatched(Watch watch) {
        return watches.get(watch.target.id()) == watch;
    }

    private static final class Watch {
        private final TargetSettings target;
        private volatile boolean awaitsLoad;
        private volatile boolean awaitsEvents;
        private volatile long lastSequence;
        private long eventsDueMs;

        private Watch(TargetSettings target) {
            this.target = target;
        }
    }
}
