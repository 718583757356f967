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
 * Stores in the platform's list under which requests targets have crashed, and passes stored crashes to the decision
 * loop. Needed if all instances crash together and restart without state: otherwise a poison request would crash the
 * same number of targets again. Peers exchange crash counts without it, so entries may be late, and one that cannot be
 * written for about a minute is dropped.
 */
public final class PoisonRequestStore {
    private static final KeyValueLog LOG = KeyValueLog.of(PoisonRequestStore.class);
    /**
     * Exceeds the time that instances need to restart; a request that is blocked for longer is stored again after its
     * next crash.
     */
    private static final long LEASE_SECONDS = 600;

    private static final long RETRY_MS = 1_000;
    private static final int MAX_ATTEMPTS = 60;

    private final KeyValueStore store;
    private final EventSink decisions;
    private final LongSupplier wallClockMs;
    private final Delay delay;
    private Set<ListedCrash> reported = Set.of();

    private PoisonRequestStore(KeyValueStore store, EventSink decisions, LongSupplier wallClockMs, Delay delay) {
        this.store = store;
        this.decisions = decisions;
        this.wallClockMs = wallClockMs;
        this.delay = delay;
    }

    /** @param wallClockMs the wall clock, which is roughly synchronized between instances */
    public static PoisonRequestStore of(
            KeyValueStore store, EventSink decisions, LongSupplier wallClockMs, Delay delay) {
        return new PoisonRequestStore(store, decisions, wallClockMs, delay);
    }

    /** Stores the crashes under one request; never blocks. */
    public void save(Action.KeepCrashes kept) {
        String key = FleetList.CRASHES_PREFIX + Long.toHexString(kept.digest());
        write(key, value(kept.crashes()), 1);
    }

    /**
     * Reports the crashes in the list that was read; called by one thread only. Each crash is reported once: otherwise
     * a request that has been served since would be blocked again because of an outdated list entry.
     */
    public void onListRead(Set<ListedCrash> crashes) {
        long nowMs = wallClockMs.getAsLong();
        List<RequestCrash> newCrashes = crashes.stream()
                .filter(crash -> !reported.contains(crash))
                .map(crash ->
                        new RequestCrash(crash.digest(), crash.target(), Math.max(0, nowMs - crash.crashedAtMs())))
                .toList();
        reported = crashes;
        if (!newCrashes.isEmpty()) {
            decisions.offer(new Event.CrashesListed(newCrashes));
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

    private void write(String key, String value, int attempts) {
        CompletableFuture<Boolean> written = store.grantLease(LEASE_SECONDS).thenCompose(lease -> {
            if (lease instanceof KeyValueResult.Answered<Long> granted) {
                return store.compareAndSwap(Map.of(), Map.of(key, value), List.of(), granted.value())
                        .thenApply(KeyValueResult.Answered.class::isInstance);
            }
            return CompletableFuture.completedFuture(false);
        });
        CompletableFuture<?> unused = written.whenComplete((succeeded, fault) -> {
            if (fault == null && succeeded) {
                LOG.info("crashes_kept", "key", key, "tries", attempts);
            } else if (attempts < MAX_ATTEMPTS) {
                delay.after(RETRY_MS, () -> write(key, value, attempts + 1));
            } else {
                LOG.warn("crashes_not_kept", "type", ErrorType.PLATFORM_UNAVAILABLE, "key", key);
            }
        });
    }
}
