package org.marjoramswitch.daemon.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.daemon.platform.KeyValueStore;
import org.marjoramswitch.daemon.platform.KeyValueStore.Entry;
import org.marjoramswitch.daemon.platform.LoggedEntries;
import org.marjoramswitch.daemon.platform.PrefixFollower;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.settings.ColdStart;
import org.marjoramswitch.kernel.settings.TargetSettings;

/**
 * Follows the list in which targets register themselves.
 *
 * <p>A target whose entry marks it as draining, or whose entry does not exist, gets no new request. While the store is
 * down, entries expire that their targets could not renew; a live target writes its entry again soon after. Targets may
 * be kept during that time, see {@link MissingTargetPolicy}.
 */
public final class TargetList implements AutoCloseable {
    private static final KeyValueLog LOG = KeyValueLog.of(TargetList.class);
    /** Pause between two reads, and after a failed one; a draining target must be known within two seconds. */
    private static final long READ_PAUSE_MS = 250;
    /** Targets write their entries again within about two seconds after the store's recovery. */
    private static final long MISSING_KEPT_MS = 2_300;
    /** Exceeds the number of targets that leave within the age of any backup of the store. */
    private static final int MAX_DEPARTED = 1_024;

    private final Decoder decoder;
    private final Consumer<Map<TargetId, TargetSettings>> listener;
    private final LongSupplier clockMs;
    private final LoggedEntries logged = LoggedEntries.create();
    private @Nullable PrefixFollower follower;
    private final Map<TargetId, Entry> readyEntries = new HashMap<>();
    /** Last entry with state ready of each target that has left. */
    private final Map<TargetId, Entry> departed = new LinkedHashMap<>();

    private final Map<TargetId, ListedColdStart> coldStarts = new HashMap<>();
    private Map<TargetId, TargetSettings> published = Map.of();
    private @Nullable String lastFailure;
    private long keepMissingUntilMs;
    private boolean notified;

    /** The end of a target's cold start, 0 if it was warm, as of a version of its entry. */
    private record ListedColdStart(long entryRevision, long untilMs) {}

    private TargetList(Decoder decoder, Consumer<Map<TargetId, TargetSettings>> listener, LongSupplier clockMs) {
        this.decoder = decoder;
        this.listener = listener;
        this.clockMs = clockMs;
    }

    /** Decodes an entry in the platform's format. */
    @FunctionalInterface
    public interface Decoder {
        /** Empty if the entry is malformed. */
        Optional<ListedTarget> decode(Entry entry);
    }

    /**
     * A listed target.
     *
     * @param ready whether it accepts new requests
     * @param coldRemainingMs how long it was still cold when it wrote its entry
     */
    public record ListedTarget(TargetSettings settings, boolean ready, long coldRemainingMs) {}

    /** @param listener receives the targets that accept requests, each time they change */
    public static TargetList start(
            KeyValueStore store,
            String prefix,
            Decoder decoder,
            Consumer<Map<TargetId, TargetSettings>> listener,
            LongSupplier clockMs) {
        TargetList list = new TargetList(decoder, listener, clockMs);
        list.follower = PrefixFollower.start(
                store, prefix, READ_PAUSE_MS, clockMs.getAsLong() + 1, new PrefixFollower.Listener() {
                    @Override
                    public void onEntries(Collection<Entry> entries, long revision) {
                        list.onEntries(entries);
                    }

                    @Override
                    public void onPeerEntries(Collection<Entry> entries, long revision) {
                        list.onPeerEntries(entries);
                    }

                    @Override
                    public boolean wantsRedelivery() {
                        return clockMs.getAsLong() < list.keepMissingUntilMs + MISSING_KEPT_MS;
                    }

                    @Override
                    public void onUnreadable(String reason) {
                        list.onUnreadable(reason);
                    }
                });
        return list;
    }

    @Override
    public void close() {
        if (follower != null) {
            follower.close();
        }
    }

    private void onUnreadable(String reason) {
        if (lastFailure == null) {
            LOG.warn("target_list_stale", "type", ErrorType.PLATFORM_UNAVAILABLE, "reason", reason);
        }
        lastFailure = reason;
    }

    /**
     * Entries that expired in an outage of the store may be reported by a peer that reads it again earlier. The time for
     * which missing targets are kept is not extended by further reports, so a target that has left is removed at its end.
     */
    private void onPeerEntries(Collection<Entry> entries) {
        long nowMs = clockMs.getAsLong();
        // Redeliveries end shortly after half of this time and do not start the next one.
        if (nowMs >= keepMissingUntilMs + 2 * MISSING_KEPT_MS) {
            keepMissingUntilMs = nowMs + MISSING_KEPT_MS;
        }
        adopt(entries, nowMs);
    }

    private void onEntries(Collection<Entry> entries) {
        long nowMs = clockMs.getAsLong();
        if (lastFailure != null) {
            lastFailure = null;
            keepMissingUntilMs = nowMs + MISSING_KEPT_MS;
            LOG.info("target_list_readable", "entries", entries.size());
        }
        adopt(entries, nowMs);
    }

    private void adopt(Collection<Entry> entries, long nowMs) {
        Map<TargetId, TargetSettings> ready = new TreeMap<>();
        Set<TargetId> listed = new HashSet<>();
        for (Entry entry : entries) {
            Optional<ListedTarget> target = decoder.decode(entry);
            if (target.isEmpty()) {
                logMalformed(entry);
                continue;
            }
            TargetSettings settings = withColdStart(target.get(), entry, nowMs);
            listed.add(settings.id());
            if (target.get().ready() && !isFromBeforeDeparture(settings.id(), entry)) {
                ready.put(settings.id(), settings);
                readyEntries.put(settings.id(), entry);
            }
        }
        coldStarts.keySet().retainAll(listed);
        recordDeparted(ready.keySet());
        if (nowMs < keepMissingUntilMs) {
            ready.putAll(MissingTargetPolicy.targetsToKeep(published, listed));
        }
        publish(ready);
    }

    /**
     * Adds the end of the cold start by this instance's clock. It is computed once for each version of the entry, since
     * an unchanged entry is delivered again with each change of another one.
     */
    private TargetSettings withColdStart(ListedTarget target, Entry entry, long nowMs) {
        ListedColdStart known = coldStarts.get(target.settings().id());
        if (known == null || known.entryRevision() != entry.modRevision()) {
            long untilMs = target.coldRemainingMs() == 0 ? 0 : nowMs + target.coldRemainingMs();
            known = new ListedColdStart(entry.modRevision(), untilMs);
            coldStarts.put(target.settings().id(), known);
        }
        return target.settings().withColdStart(ColdStart.until(known.untilMs(), 0));
    }

    /**
     * Whether the entry is the one that a target had before it left: the store was restored from an older copy, and the
     * target, which has exited, will not write another. A live target writes a new entry, which differs at least in its
     * create revision.
     */
    private boolean isFromBeforeDeparture(TargetId id, Entry entry) {
        Entry last = departed.get(id);
        boolean fromBeforeDeparture = last != null
                && last.createRevision() == entry.createRevision()
                && last.value().equals(entry.value());
        if (last != null && !fromBeforeDeparture) {
            departed.remove(id);
        }
        return fromBeforeDeparture;
    }

    private void recordDeparted(Set<TargetId> ready) {
        readyEntries.entrySet().removeIf(previous -> {
            boolean left = !ready.contains(previous.getKey());
            if (left) {
                departed.put(previous.getKey(), previous.getValue());
            }
            return left;
        });
        while (departed.size() > MAX_DEPARTED) {
            departed.remove(departed.keySet().iterator().next());
        }
    }

    private void publish(Map<TargetId, TargetSettings> ready) {
        if (notified && ready.equals(published)) {
            return;
        }
        logChanges(ready);
        notified = true;
        published = Map.copyOf(ready);
        listener.accept(published);
    }

    private void logChanges(Map<TargetId, TargetSettings> ready) {
        ready.forEach((id, target) -> {
            if (!published.containsKey(id)) {
                LOG.info(
                        "target_ready",
                        "target",
                        id,
                        "pool",
                        target.pool(),
                        "dataCentre",
                        target.dataCentre(),
                        "softwareVersion",
                        target.softwareVersion());
            }
        });
        published.forEach((id, target) -> {
            if (!ready.containsKey(id)) {
                LOG.info("target_unready", "target", id, "pool", target.pool());
            }
        });
    }

    private void logMalformed(Entry entry) {
        if (logged.add(entry)) {
            LOG.warn("target_list_entry_malformed", "type", ErrorType.FLEET_LIST_INVALID, "key", entry.key());
        }
    }
}
