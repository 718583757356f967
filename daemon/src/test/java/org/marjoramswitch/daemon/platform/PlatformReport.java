package org.marjoramswitch.daemon.platform;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.marjoramswitch.daemon.platform.PlatformFixture.await;
import static org.marjoramswitch.daemon.platform.PlatformFixture.until;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.testkit.platform.CallKind;

/**
 * Benchmark without assertions, which the build does not run; {@code docs/PLATFORM.md} documents the command. Prints
 * the number of store calls for claims, watches and the list, and how long faults affect callers.
 */
class PlatformReport {
    private static final KeyValueLog LOG = KeyValueLog.of(PlatformReport.class);
    private static final CustomerId CUSTOMER = CustomerId.of("pier");
    private static final String HASH = "0123456789abcdef".repeat(4);
    private static final int SECONDS = 10;

    @Test
    void claims() throws Exception {
        for (int instances : new int[] {1, 9}) {
            for (int claimsPerSecond : new int[] {9, 90, 900}) {
                reportClaims(instances, claimsPerSecond);
            }
        }
    }

    @Test
    void watch() throws Exception {
        try (PlatformFixture platform = PlatformFixture.start()) {
            AtomicLong events = new AtomicLong();
            platform.store(KeyValueOptions.of(7))
                    .watch("settings/", platform.gateway.revision(), event -> events.incrementAndGet());
            until(() -> platform.gateway.waitingWatches() == 1);
            long before = platform.gateway.calls();
            TimeUnit.SECONDS.sleep(60);
            LOG.info("platform_watch_minute", "calls", platform.gateway.calls() - before);
            for (int i = 0; i < 5; i++) {
                platform.gateway.stickWatches();
                long startNs = System.nanoTime();
                long seen = events.get();
                platform.gateway.put("settings/a", "v" + i);
                until(() -> events.get() > seen);
                LOG.info("platform_watch_stuck", "event_after_ms", millisSince(startNs));
            }
        }
    }

    @Test
    void list() throws Exception {
        try (PlatformFixture platform = PlatformFixture.start()) {
            listFleet(platform, 9, 11);
            reportList(platform, "today");
            listFleet(platform, 350, 640);
            reportList(platform, "two_years");
        }
    }

    @Test
    void faults() throws Exception {
        reportFault("refused", platform -> platform.gateway.refuseConnections());
        reportFault("hanging", platform -> platform.gateway.hang());
        reportFault("status_503", platform -> platform.gateway.answerUnavailable());
        reportFault("rate_limited", platform -> platform.gateway.limitCallsPerSecond(0));
    }

    private static void reportClaims(int instances, int claimsPerSecond) throws Exception {
        try (PlatformFixture platform = PlatformFixture.start()) {
            List<ClaimStore> stores = new ArrayList<>();
            for (int i = 0; i < instances; i++) {
                stores.add(claimStore(platform, i));
            }
            long[] latenciesUs = offer(stores, claimsPerSecond, claimsPerSecond * SECONDS);
            long calls = platform.gateway.calls();
            LOG.info(
                    "platform_claims",
                    "instances",
                    instances,
                    "claims_per_s",
                    claimsPerSecond,
                    "claims",
                    latenciesUs.length,
                    "transactions",
                    platform.gateway.calls(CallKind.TXN),
                    "lease_grants",
                    platform.gateway.calls(CallKind.LEASE_GRANT),
                    "calls_per_claim",
                    calls / (double) latenciesUs.length,
                    "p50_us",
                    latenciesUs[latenciesUs.length / 2],
                    "p99_us",
                    latenciesUs[latenciesUs.length * 99 / 100]);
            stores.forEach(ClaimStore::close);
        }
    }

    /**
     * Claims at a constant rate, independent of responses; returns the sorted latencies from scheduled start to result.
     */
    private static long[] offer(List<ClaimStore> stores, int perSecond, int count) throws Exception {
        long[] latenciesUs = new long[count];
        List<CompletableFuture<Void>> ends = new ArrayList<>();
        long startNs = System.nanoTime();
        for (int i = 0; i < count; i++) {
            int claim = i;
            long dueNs = startNs + TimeUnit.SECONDS.toNanos(1) * i / perSecond;
            while (System.nanoTime() < dueNs) {
                TimeUnit.MICROSECONDS.sleep(100);
            }
            ends.add(stores.get(i % stores.size())
                    .claim(CUSTOMER, HASH + i, "request-key-of-the-usual-length-" + i)
                    .thenAccept(
                            result -> latenciesUs[claim] = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - dueNs)));
        }
        for (CompletableFuture<Void> end : ends) {
            await(end);
        }
        Arrays.sort(latenciesUs);
        return latenciesUs;
    }

    private static void listFleet(PlatformFixture platform, int instances, int targets) {
        for (int i = 0; i < instances; i++) {
            platform.gateway.putInstance("entry-" + i, "10.0.1.17:8080", "10.0.1.17:9090", "hall-soudure", "live");
        }
        for (int i = 0; i < targets; i++) {
            platform.gateway.putTarget("atelier-llm-" + i, "live");
        }
    }

    private static void reportList(PlatformFixture platform, String size) throws Exception {
        EtcdGatewayStore store = platform.store(KeyValueOptions.of(7));
        KeyValueStore.Range range = PlatformFixture.answered(store.range("list/"));
        long bytes = range.entries().stream()
                .mapToLong(entry ->
                        entry.key().getBytes(UTF_8).length + entry.value().getBytes(UTF_8).length)
                .sum();
        long before = platform.gateway.calls();
        FleetListReader reader =
                FleetListReader.start(store, FleetListReader.DEFAULT_PERIOD_MS, 7, new MetricRegistry(), list -> {});
        TimeUnit.SECONDS.sleep(30);
        reader.close();
        LOG.info(
                "platform_list",
                "size",
                size,
                "entries",
                range.entries().size(),
                "key_and_value_bytes",
                bytes,
                "calls_in_30_s",
                platform.gateway.calls() - before);
    }

    private interface Fault {
        void inject(PlatformFixture platform);
    }

    private static void reportFault(String name, Fault fault) throws Exception {
        try (PlatformFixture platform = PlatformFixture.start()) {
            ClaimStore claims = claimStore(platform, 0);
            await(claims.claim(CUSTOMER, HASH, "first"));
            long before = platform.gateway.calls();
            fault.inject(platform);
            long[] refusedMs = new long[10];
            for (int i = 0; i < refusedMs.length; i++) {
                long startNs = System.nanoTime();
                await(claims.claim(CUSTOMER, HASH + i, "during"));
                refusedMs[i] = millisSince(startNs);
            }
            long callsDuring = platform.gateway.calls() - before;
            platform.gateway.recover();
            long recoveredNs = System.nanoTime();
            for (int i = 0; !(await(claims.claim(CUSTOMER, HASH + "a" + i, "x")) instanceof ClaimResult.Claimed); ) {
                i++;
            }
            LOG.info(
                    "platform_fault",
                    "fault",
                    name,
                    "refused_after_ms",
                    Arrays.toString(refusedMs),
                    "calls_during",
                    callsDuring,
                    "claimed_again_after_ms",
                    millisSince(recoveredNs));
            claims.close();
        }
    }

    private static ClaimStore claimStore(PlatformFixture platform, int number) {
        EtcdGatewayStore store = platform.store(KeyValueOptions.of(number));
        return ClaimStore.start(
                store,
                store,
                ClaimOptions.defaults(),
                InstanceId.of("entry-" + number),
                1,
                platform.metrics,
                System::currentTimeMillis);
    }

    private static long millisSince(long startNs) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
    }
}
