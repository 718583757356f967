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
 * Polls load reports and cache events of the targets that this instance watches. Runs on the client's I/O threads and
 * calls the consumer on them, which must not block. At most one query of each kind is outstanding per target, so a slow
 * target does not accumulate connections.
 *
 * <p>A report is dated at the time the query was sent, minus the age that the target reports: the round trip makes it
 * appear older than it is, never newer.
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
    private final XnioExecutor.Key pollTimer;

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
        this.pollTimer =
                connector.anyThread().executeAtInterval(this::queryAll, options.loadEveryMs(), TimeUnit.MILLISECONDS);
    }

    /**
     * Starts polling.
     *
     * @param clockMs clock that dates the reports
     * @param targets supplies the model engines to watch; called for each poll, on any thread
     * @param events receives {@link TargetReported} and {@link PrefixCached}
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
        pollTimer.remove();
        watches.clear();
    }

    private void queryAll() {
        updateWatches(targets.get());
        long nowMs = clockMs.getAsLong();
        watches.values().forEach(watch -> query(watch, nowMs));
    }

    private void updateWatches(Collection<TargetSettings> wanted) {
        watches.values().removeIf(watch -> !wanted.contains(watch.target));
        wanted.forEach(target -> watches.computeIfAbsent(target.id(), id -> new Watch(target)));
    }

    private void query(Watch watch, long nowMs) {
        if (!watch.loadPending) {
            watch.loadPending = true;
            TargetQuery.send(
                    connector,
                    watch.target,
                    LOAD_PATH,
                    options.timeoutMs(),
                    response -> onLoad(watch, response, nowMs));
        }
        if (!watch.eventsPending && nowMs >= watch.eventsDueMs) {
            watch.eventsPending = true;
            watch.eventsDueMs = nowMs + options.cacheEventsEveryMs();
            String path = CACHE_EVENTS_PATH + watch.lastSequence;
            TargetQuery.send(
                    connector, watch.target, path, options.timeoutMs(), response -> onCacheEvents(watch, response));
        }
    }

    private void onLoad(Watch watch, TargetQuery.Response response, long queriedAtMs) {
        watch.loadPending = false;
        JsonNode json = response.json();
        if (!json.path("running").isInt() || !isWatched(watch)) {
            return;
        }
        long measuredAtMs = queriedAtMs - Math.max(0, json.path("ageMs").asLong());
        LoadReport report = LoadReport.of(
                measuredAtMs,
                Math.max(0, json.path("running").asInt()),
                Math.max(0, json.path("queued").asInt()),
                Math.max(0, json.path("maxBatch").asInt()));
        events.accept(new TargetReported(watch.target.id(), report));
    }

    private void onCacheEvents(Watch watch, TargetQuery.Response response) {
        watch.eventsPending = false;
        if (!response.json().path("events").isArray() || !isWatched(watch)) {
            return;
        }
        if (response.json().path("last").asLong(Long.MAX_VALUE) < watch.lastSequence) {
            // The sequence has been reset, so the target has restarted. Without the reset here, its first events would
            // be
            // skipped as already seen.
            connector.metrics().cacheEventRestarts.inc();
            watch.lastSequence = 0;
            return;
        }
        response.json().path("events").forEach(event -> onCacheEvent(watch, event));
    }

    private void onCacheEvent(Watch watch, JsonNode event) {
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
            // A malformed event counts as missing.
            connector.metrics().cacheEventGaps.inc();
        }
    }

    private boolean isWatched(Watch watch) {
        return watches.get(watch.target.id()) == watch;
    }

    private static final class Watch {
        private final TargetSettings target;
        private volatile boolean loadPending;
        private volatile boolean eventsPending;
        private volatile long lastSequence;
        private long eventsDueMs;

        private Watch(TargetSettings target) {
            this.target = target;
        }
    }
}
