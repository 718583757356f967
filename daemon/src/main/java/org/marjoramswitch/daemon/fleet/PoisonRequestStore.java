package org.marjoramswitch.daemon.fleet;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.marjoramswitch.daemon.core.EventSink;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.daemon.platform.FleetList;
import org.marjoramswitch.daemon.platform.FleetList.ListedCrash;
import org.marjoramswitch.daemon.platform.KeyValueResult;
import org.marjoramswitch.daemon.platform.KeyValueStore;
import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.event.Event;
import org.marjoramswitch.kernel.message.PeerMessage.RequestCrash;

/**
 * Writes under which requests targets have ended to the platform's list, and tells the decisions what stands there. It is
 * for the case that all instances end together and start anew knowing nothing: a harmful request would end as many targets
 * again. Peers tell one another without it, so it may be late, and an entry that cannot be written for a while is given up.
 */
public final class PoisonRequestStore {
    private static final KeyValueLog LOG = KeyValueLog.of(PoisonRequestStore.class);
    /** Above the time that instances need to start anew; a longer block is written again with its next end. */
    private static final long LEASE_SECONDS = 600;

    private static final long RETRY_MS = 1_000;
    private static final int MOST_TRIES = 60;

    private final KeyValueStore store;
    private final EventSink decisions;
    private final LongSupplier wallClockMs;
    private final Delay delay;
    private Set<ListedCrash> told = Set.of();

    private PoisonRequestStore(KeyValueStore store, EventSink decisions, LongSupplier wallClockMs, Delay delay) {
        this.store = store;
        this.decisions = decisions;
        this.wallClockMs = wallClockMs;
        this.delay = delay;
    }

    /** @param wallClockMs the time of day, which instances share roughly */
    public static PoisonRequestStore of(
            KeyValueStore store, EventSink decisions, LongSupplier wallClockMs, Delay delay) {
        return new PoisonRequestStore(store, decisions, wallClockMs, delay);
    }

    /** Runs a task later; dropped where the instance has ended by then. */
    @FunctionalInterface
    public interface Delay {
        void after(long delayMs, Runnable task);
    }

    /** Writes what is held against one request; never blocks. */
    public void save(Action.KeepCrashes kept) {
        String key = FleetList.CRASHES_PREFIX + Long.toHexString(kept.digest());
        write(key, value(kept.crashes()), 1);
    }

    /**
     * The list was read; called by one thread. Each end is told once: a request that was served since would be blocked again
     * by what the list still says.
     */
    public void onListRead(Set<ListedCrash> crashes) {
        long nowMs = wallClockMs.getAsLong();
        List<RequestCrash> news = crashes.stream()
                .filter(crash -> !told.contains(crash))
                .map(crash ->
                        new RequestCrash(crash.digest(), crash.target(), Math.max(0, nowMs - crash.crashedAtMs())))
                .toList();
        told = crashes;
        if (!news.isEmpty()) {
            decisions.offer(new Event.CrashesListed(news));
        }
    }

    private String value(List<RequestCrash> crashes) {
        long nowMs = wallClockMs.getAsLong();
        ObjectNode value = JsonNodeFactory.instance.objectNode();
        ArrayNode ends = value.putArray("ends");
        for (RequestCrash crash : crashes) {
            ends.addObject().put("target", crash.target().name()).put("atMs", nowMs - crash.ageMs());
        }
        return value.toString();
    }

    private void write(String key, String value, int tries) {
        CompletableFuture<Boolean> written = store.grantLease(LEASE_SECONDS).thenCompose(lease -> {
            if (lease instanceof KeyValueResult.Answered<Long> granted) {
                return store.compareAndSwap(Map.of(), Map.of(key, value), List.of(), granted.value())
                        .thenApply(KeyValueResult.Answered.class::isInstance);
            }
            return CompletableFuture.completedFuture(false);
        });
        CompletableFuture<?> unused = written.whenComplete((done, fault) -> {
            if (fault == null && done) {
                LOG.info("crashes_kept", "key", key, "tries", tries);
            } else if (tries < MOST_TRIES) {
                delay.after(RETRY_MS, () -> write(key, value, tries + 1));
            } else {
                LOG.warn("crashes_not_kept", "type", ErrorType.PLATFORM_UNAVAILABLE, "key", key);
            }
        });
    }
}
