package org.marjoramswitch.kernel.placement;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.capacity.PoolFaultRate;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.settings.TargetSettings;

/**
 * The targets of one cell that are not draining, with an index of their cached prompt parts and the order by cost of
 * those that may receive requests.
 */
final class TargetPool {
    /**
     * Mean share of free targets below which a pool is overloaded. With twice the share, or the present one in place of a
     * mean, the rule also applies at the capacity and costs 0.01 to 0.02 of the value there.
     */
    private static final double OVERLOADED_FREE_SHARE = 0.1;
    /** Time over which the share is averaged; with 3 s the value at 1.3 times the capacity is 0.01 lower. */
    private static final double FREE_SHARE_TIME_MS = 1_000;

    private final Map<TargetId, TargetLoad> byId = new TreeMap<>();
    /** Targets that are not listed any more and still have requests in flight; they may be listed again. */
    private final Map<TargetId, TargetLoad> unlisted = new TreeMap<>();

    private final PromptPartIndex partIndex = new PromptPartIndex();
    private final EngineMemoryModel memoryModel;
    private final PoolFaultRate faultRate = PoolFaultRate.create();
    private final PoolSpeeds speeds = PoolSpeeds.create();
    private final TargetOrder order = TargetOrder.create();
    /** The targets that may receive requests: all but those of evacuated data centres. */
    private List<TargetLoad> usable = List.of();

    private double freeShare = 1;
    private long freeShareAtMs;

    private int slots;
    private double coldStartShare = 1;
    private boolean isNew = true;

    private TargetPool(EngineMemoryModel memoryModel) {
        this.memoryModel = memoryModel;
    }

    static TargetPool create() {
        return create(EngineMemoryModel.create(PlacementPolicy.full()));
    }

    static TargetPool create(EngineMemoryModel memoryModel) {
        return new TargetPool(memoryModel);
    }

    /**
     * Sets the targets and keeps the state of those that remain. The state of a restarted target is discarded: its
     * cache, running requests, service times and failures. Otherwise its slots would seem occupied by requests that no
     * longer exist, and prompts would be sent there for parts that it has lost. A target of an evacuated data centre
     * keeps its state, since its requests continue and it may be used again soon.
     */
    void targets(Collection<TargetSettings> settings, Set<TargetId> leaving, Set<DataCentreId> evacuated, long nowMs) {
        Set<TargetId> ids = new TreeSet<>();
        for (TargetSettings target : settings) {
            if (!leaving.contains(target.id())) {
                ids.add(target.id());
                dropIfRestarted(target);
                byId.computeIfAbsent(target.id(), missing -> unlistedOrNew(target, nowMs))
                        .settings(target);
            }
        }
        isNew = false;
        byId.entrySet().removeIf(known -> {
            boolean removed = !ids.contains(known.getKey());
            if (removed) {
                known.getValue().clearCache();
                known.getValue().setUsable(false);
                unlisted.put(known.getKey(), known.getValue());
            }
            return removed;
        });
        unlisted.values().removeIf(TargetPool::discardIfEnded);
        byId.values()
                .forEach(target ->
                        target.setUsable(!evacuated.contains(target.settings().dataCentre())));
        usable = byId.values().stream().filter(TargetLoad::isUsable).toList();
        slots = usable.stream().mapToInt(target -> target.settings().slots()).sum();
        order.targets(usable);
    }

    private TargetLoad unlistedOrNew(TargetSettings target, long nowMs) {
        TargetLoad known = unlisted.remove(target.id());
        if (known != null && known.settings().startedAtMs() == target.startedAtMs()) {
            return known;
        }
        if (known != null) {
            known.clearCache();
        }
        return TargetLoad.create(target, partIndex, faultRate, coldStartLimiter(nowMs), memoryModel, speeds);
    }

    /** Clears an unlisted target, which may have cached parts meanwhile; returns whether its requests have ended. */
    private static boolean discardIfEnded(TargetLoad unlisted) {
        boolean ended = unlisted.inFlight() == 0;
        if (ended) {
            unlisted.clearCache();
        }
        return ended;
    }

    /** The targets that a new arbiter finds may have received requests from the former one until now. */
    private ColdStartLimiter coldStartLimiter(long nowMs) {
        return isNew ? ColdStartLimiter.afterOtherArbiter(nowMs) : ColdStartLimiter.create();
    }

    /** The share of a cold target's request rate that this arbiter may use. */
    double coldStartShare() {
        return coldStartShare;
    }

    void setColdStartShare(double share) {
        coldStartShare = share;
    }

    private void dropIfRestarted(TargetSettings target) {
        TargetLoad known = byId.get(target.id());
        if (known != null && known.settings().startedAtMs() != target.startedAtMs()) {
            known.clearCache();
            byId.remove(target.id());
        }
    }

    /** The target, listed or not; null if it is gone or has restarted since {@code startedAtMs}. */
    @Nullable
    TargetLoad get(TargetId id, long startedAtMs) {
        TargetLoad listed = byId.get(id);
        TargetLoad known = listed == null ? unlisted.get(id) : listed;
        return known == null || known.settings().startedAtMs() != startedAtMs ? null : known;
    }

    /** The target in its current state; null if it is gone. */
    @Nullable
    TargetLoad get(TargetId id) {
        return byId.get(id);
    }

    /** The targets that may receive requests. */
    List<TargetLoad> usable() {
        return usable;
    }

    /** The number of targets that may receive requests. */
    int size() {
        return usable.size();
    }

    /** Whether hardly any target was able to take a request in the last second. */
    boolean isOverloaded() {
        return freeShare <= OVERLOADED_FREE_SHARE;
    }

    /** Records which share of the targets can take a request now, after the update of their order. */
    void observeFreeShare(long nowMs) {
        double weight = 1 - Math.exp(-Math.max(0, nowMs - freeShareAtMs) / FREE_SHARE_TIME_MS);
        freeShare += weight * ((double) order.freeCount() / Math.max(1, usable.size()) - freeShare);
        freeShareAtMs = nowMs;
    }

    /** The total slots of the targets that may receive requests. */
    int slots() {
        return slots;
    }

    PromptPartIndex partIndex() {
        return partIndex;
    }

    TargetOrder order() {
        return order;
    }
}
