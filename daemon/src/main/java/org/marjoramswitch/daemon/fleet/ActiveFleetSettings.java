package org.marjoramswitch.daemon.fleet;

import java.util.Map;
import java.util.TreeMap;
import org.marjoramswitch.daemon.core.EventSink;
import org.marjoramswitch.daemon.route.RoutedSettings;
import org.marjoramswitch.kernel.event.Event;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.settings.ColdStart;
import org.marjoramswitch.kernel.settings.EngineMemory;
import org.marjoramswitch.kernel.settings.FleetSettings;
import org.marjoramswitch.kernel.settings.PoolSettings;
import org.marjoramswitch.kernel.settings.TargetSettings;

/** Combines the routed settings with the listed targets and activates them on this instance. */
public final class ActiveFleetSettings {
    private final EventSink decisions;
    private RoutedSettings newest = RoutedSettings.NONE;
    private Map<TargetId, TargetSettings> targets = Map.of();
    private volatile RoutedSettings active = RoutedSettings.NONE;

    private ActiveFleetSettings(EventSink decisions) {
        this.decisions = decisions;
    }

    public static ActiveFleetSettings create(EventSink decisions) {
        return new ActiveFleetSettings(decisions);
    }

    /** The settings by which requests are routed. */
    public RoutedSettings routed() {
        return active;
    }

    /**
     * Activates new settings. The decision loop gets them first: a request that is routed by them and overtakes them
     * would be rejected, since the loop does not know its pool.
     */
    public synchronized void onSettings(RoutedSettings settings) {
        newest = settings;
        offerToDecisions();
        active = settings;
    }

    public synchronized void onTargets(Map<TargetId, TargetSettings> listed) {
        targets = listed;
        offerToDecisions();
    }

    /** Sends routes' pools and listed targets to the decision loop together, whichever of the two has changed. */
    private void offerToDecisions() {
        Map<TargetId, TargetSettings> targetsOfPools = new TreeMap<>();
        for (TargetSettings target : targets.values()) {
            PoolSettings pool = newest.pools().get(target.pool());
            if (pool != null) {
                targetsOfPools.put(target.id(), withPoolSettings(target, pool));
            }
        }
        decisions.offer(new Event.SettingsAccepted(
                FleetSettings.of(newest.version(), newest.customers(), newest.pools(), targetsOfPools)));
    }

    private TargetSettings withPoolSettings(TargetSettings target, PoolSettings pool) {
        EngineMemory memory = newest.memories().getOrDefault(pool.id(), EngineMemory.UNKNOWN);
        ColdStart coldStart =
                ColdStart.until(target.coldStart().untilMs(), pool.coldStart().requestsPerSecond());
        return target.withMemory(memory).withColdStart(coldStart);
    }
}
