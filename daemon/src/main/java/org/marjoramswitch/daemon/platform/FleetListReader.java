package org.marjoramswitch.daemon.platform;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import java.util.Collection;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.daemon.platform.KeyValueStore.Entry;
import org.marjoramswitch.kernel.error.ErrorType;

/**
 * Follows the platform's list and passes each list that differs from the previous one to a listener.
 *
 * <p>Reads the list once and then watches it; a watch reports changes immediately and transfers changes only, whereas
 * polling would transfer the complete list each time. When the watch breaks, the list is read again. While the store
 * does not respond, the last list remains in use.
 */
public final class FleetListReader implements AutoCloseable {
    /** Default pause between two reads, and after a failed one. */
    public static final long DEFAULT_PERIOD_MS = 2_000;

    private static final KeyValueLog LOG = KeyValueLog.of(FleetListReader.class);

    private final Consumer<FleetList> listener;
    private final Meter malformed;
    private final Meter failed;
    private final LoggedEntries logged = LoggedEntries.create();
    private @Nullable PrefixFollower follower;
    private @Nullable FleetList last;
    private boolean failing;

    private FleetListReader(MetricRegistry metrics, Consumer<FleetList> listener) {
        this.listener = listener;
        this.malformed = metrics.meter("platform.list.malformed");
        this.failed = metrics.meter("platform.list.failed");
    }

    /**
     * Starts to follow the list; the listener is called on the follower's thread.
     *
     * @param periodMs the mean pause between two reads, see {@link PrefixFollower#start}
     */
    public static FleetListReader start(
            KeyValueStore store, long periodMs, long seed, MetricRegistry metrics, Consumer<FleetList> listener) {
        return start(store, periodMs, seed, metrics, listener, CompletableFuture.completedFuture(null));
    }

    /**
     * As the other {@code start}, with the first read after this instance's registration: of two instances that start at
     * the same time, at least one reads the other's entry.
     *
     * @param registration awaited for a second at most
     */
    public static FleetListReader start(
            KeyValueStore store,
            long periodMs,
            long seed,
            MetricRegistry metrics,
            Consumer<FleetList> listener,
            CompletableFuture<?> registration) {
        FleetListReader reader = new FleetListReader(metrics, listener);
        reader.follower = PrefixFollower.start(
                store, FleetListParser.PREFIX, periodMs, seed, reader.followerListener(), registration);
        return reader;
    }

    @Override
    public void close() {
        if (follower != null) {
            follower.close();
        }
    }

    private PrefixFollower.Listener followerListener() {
        return new PrefixFollower.Listener() {
            @Override
            public void onEntries(Collection<Entry> entries, long revision) {
                failing = false;
                accept(entries);
            }

            @Override
            public void onPeerEntries(Collection<Entry> entries, long revision) {
                accept(entries);
            }

            @Override
            public void onUnreadable(String reason) {
                countFailure(reason);
            }
        };
    }

    private void countFailure(String reason) {
        failed.mark();
        if (!failing) {
            LOG.warn("fleet_list_stale", "type", ErrorType.PLATFORM_UNAVAILABLE, "reason", reason);
        }
        failing = true;
    }

    private void accept(Collection<Entry> entries) {
        FleetListParser.ParseResult result = FleetListParser.parse(entries, last == null ? FleetList.empty() : last);
        result.malformed().forEach(this::countMalformed);
        if (result.list().equals(last)) {
            return;
        }
        last = result.list();
        LOG.info(
                "fleet_list_read",
                "instances",
                last.instances().size(),
                "leaving_targets",
                last.leavingTargets().size());
        listener.accept(last);
    }

    /** Counts and logs each version of an entry once, not again when another entry changes. */
    private void countMalformed(Entry entry) {
        if (!logged.add(entry)) {
            return;
        }
        malformed.mark();
        LOG.warn(
                "fleet_list_entry_malformed",
                "type",
                ErrorType.FLEET_LIST_INVALID,
                "key",
                entry.key(),
                "revision",
                entry.modRevision());
    }
}
