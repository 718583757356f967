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
import org.marjoramswitch.kernel.settings.TargetSettings;

/**
 * Follows the list in which targets register themselves.
 *
 * <p>A target whose entry says that it leaves, or whose entry is gone, gets no new request. While the service was away
 * entries lapse that their targets could not renew; a target that lives writes its own again soon after. So targets may
 * be kept for that time, see {@link MissingTargetPolicy}.
 */
public final class TargetList implements AutoCloseable {
    private static final KeyValueLog LOG = KeyValueLog.of(TargetList.class);
    /** The pause between two readings, and after one that failed; a leaving target must be known within two seconds. */
    private static final long READ_PAUSE_MS = 250;
    /** Targets write their entries again within about two seconds of the service's return. */
    private static final long LAPSED_KEPT_MS = 2_300;
    /** Above the targets that leave within the age of any copy. */
    private static final int MOST_DEPARTED = 1_024;

    private final Decoder decoder;
    private final Consumer<Map<TargetId, TargetSettings>> listener;
    private final LongSupplier clockMs;
    private final LoggedEntries logged = LoggedEntries.create();
    private @Nullable PrefixFollower follower;
    private final Map<TargetId, Entry> readyEntries = new HashMap<>();
    /** Of targets that have left, the last entry that named them ready. */
    private final Map<TargetId, Entry> departed = new LinkedHashMap<>();

    private Map<TargetId, TargetSettings> known = Map.of();
    private @Nullable String failing;
    private long keepLapsedUntilMs;
    private boolean told;

    private TargetList(Decoder decoder, Consumer<Map<TargetId, TargetSettings>> listener, LongSupplier clockMs) {
        this.decoder = decoder;
        this.listener = listener;
        this.clockMs = clockMs;
    }

    /** Reads an entry of the platform's own format. */
    @FunctionalInterface
    public interface Decoder {
        /** Empty where the entry cannot be read. */
        Optional<ListedTarget> decode(Entry entry);
    }

    /** A listed target, and whether it may be given new requests. */
    public record ListedTarget(TargetSettings settings, boolean ready) {}

    /** @param listener told of the targets that may be given requests, each time that they change */
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
                    public void onEntries(Collection<Entry> entries) {
                        list.onEntries(entries);
                    }

                    @Override
                    public boolean wantsRedelivery() {
                        return clockMs.getAsLong() < list.keepLapsedUntilMs + LAPSED_KEPT_MS;
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
        if (failing == null) {
            LOG.warn("target_list_stale", "type", ErrorType.PLATFORM_UNAVAILABLE, "reason", reason);
        }
        failing = reason;
    }

    private void onEntries(Collection<Entry> entries) {
        long nowMs = clockMs.getAsLong();
        if (failing != null) {
            failing = null;
            keepLapsedUntilMs = nowMs + LAPSED_KEPT_MS;
            LOG.info("target_list_readable", "entries", entries.size());
        }
        Map<TargetId, TargetSettings> ready = new TreeMap<>();
        Set<TargetId> listed = new HashSet<>();
        for (Entry entry : entries) {
            Optional<ListedTarget> target = decoder.decode(entry);
            if (target.isEmpty()) {
                logUnreadable(entry);
                continue;
            }
            TargetSettings settings = target.get().settings();
            listed.add(settings.id());
            if (target.get().ready() && !isOfBefore(settings.id(), entry)) {
                ready.put(settings.id(), settings);
                readyEntries.put(settings.id(), entry);
            }
        }
        noteDeparted(ready.keySet());
        if (nowMs < keepLapsedUntilMs) {
            ready.putAll(MissingTargetPolicy.targetsToKeep(known, listed));
        }
        tell(ready);
    }

    /**
     * Whether the entry is the one that a target had before it left: the service has come back from an older copy, and the
     * target, which is gone, will not write another. One that lives does, and the new entry differs at least in its count.
     */
    private boolean isOfBefore(TargetId id, Entry entry) {
        Entry last = departed.get(id);
        boolean ofBefore = last != null
                && last.createRevision() == entry.createRevision()
                && last.value().equals(entry.value());
        if (last != null && !ofBefore) {
            departed.remove(id);
        }
        return ofBefore;
    }

    private void noteDeparted(Set<TargetId> ready) {
        readyEntries.entrySet().removeIf(was -> {
            boolean left = !ready.contains(was.getKey());
            if (left) {
                departed.put(was.getKey(), was.getValue());
            }
            return left;
        });
        while (departed.size() > MOST_DEPARTED) {
            departed.remove(departed.keySet().iterator().next());
        }
    }

    private void tell(Map<TargetId, TargetSettings> ready) {
        if (told && ready.equals(known)) {
            return;
        }
        logChanges(ready);
        told = true;
        known = Map.copyOf(ready);
        listener.accept(known);
    }

    private void logChanges(Map<TargetId, TargetSettings> ready) {
        ready.forEach((id, target) -> {
            if (!known.containsKey(id)) {
                LOG.info("target_ready", "target", id, "pool", target.pool(), "dataCentre", target.dataCentre());
            }
        });
        known.forEach((id, target) -> {
            if (!ready.containsKey(id)) {
                LOG.info("target_unready", "target", id, "pool", target.pool());
            }
        });
    }

    private void logUnreadable(Entry entry) {
        if (logged.add(entry)) {
            LOG.warn("target_list_entry_malformed", "type", ErrorType.FLEET_LIST_INVALID, "key", entry.key());
        }
    }
}
