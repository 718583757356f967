package org.marjoramswitch.daemon.configuration;

import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.testkit.platform.CallKind;

/**
 * Reports the time from a write until it is active at all instances, and the number of store calls. It contains no
 * assertions and the build does not run it; see {@code docs/CONFIGURATION.md} for the command.
 */
class ConfigurationReport {
    private static final KeyValueLog LOG = KeyValueLog.of(ConfigurationReport.class);
    private static final int CHANGES = 50;
    private static final long IDLE_MS = 60_000;

    @ParameterizedTest
    @ValueSource(ints = {9, 350})
    void measure(int instances) throws Exception {
        try (GatewayFleet fleet = GatewayFleet.start(ConfigurationOptions.DEFAULT, instances)) {
            LOG.info("configuration_fleet", "instances", instances);
            fleet.put(1);
            fleet.instances.awaitWeight("acme", 1);
            reportChanges(fleet);
            reportIdle(fleet);
            reportSilentWatches(fleet);
        }
    }

    private static void reportChanges(GatewayFleet fleet) {
        long before = fleet.gateway.calls();
        long[] activationUs = IntStream.range(2, 2 + CHANGES)
                .mapToLong(weight -> timeUs(fleet, weight))
                .sorted()
                .toArray();
        LOG.info(
                "configuration_changes",
                "changes",
                CHANGES,
                "in_force_p50_us",
                activationUs[CHANGES / 2],
                "in_force_max_us",
                activationUs[CHANGES - 1],
                "calls_per_change",
                (fleet.gateway.calls() - before) / (double) CHANGES,
                "rounds",
                fleet.instances.count("configuration.rounds"),
                "publications",
                fleet.instances.count("configuration.publications"),
                "heads_per_change",
                perChange(fleet, PeerMessage.SettingsHead.class),
                "queries_per_change",
                perChange(fleet, PeerMessage.SettingsQuery.class),
                "bodies_per_change",
                perChange(fleet, PeerMessage.SettingsBodies.class));
    }

    /** Messages per change; the count includes the start and the first change. */
    private static double perChange(GatewayFleet fleet, Class<? extends PeerMessage> kind) {
        return fleet.instances.messages(kind) / (CHANGES + 1.0);
    }

    private static void reportIdle(GatewayFleet fleet) throws InterruptedException {
        long before = fleet.gateway.calls();
        long rangesBefore = fleet.gateway.calls(CallKind.RANGE);
        long watchesBefore = fleet.gateway.calls(CallKind.WATCH);
        TimeUnit.MILLISECONDS.sleep(IDLE_MS);
        LOG.info(
                "configuration_idle_minute",
                "waiting_watches",
                fleet.gateway.waitingWatches(),
                "range_calls",
                fleet.gateway.calls(CallKind.RANGE) - rangesBefore,
                "watch_calls",
                fleet.gateway.calls(CallKind.WATCH) - watchesBefore,
                "all_calls",
                fleet.gateway.calls() - before);
    }

    private static void reportSilentWatches(GatewayFleet fleet) {
        for (int weight = 100; weight < 105; weight++) {
            fleet.gateway.stickWatches();
            LOG.info("configuration_silent_watches", "in_force_us", timeUs(fleet, weight));
        }
    }

    private static long timeUs(GatewayFleet fleet, int weight) {
        long startNs = System.nanoTime();
        fleet.put(weight);
        fleet.instances.awaitWeight("acme", weight);
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNs);
    }
}
