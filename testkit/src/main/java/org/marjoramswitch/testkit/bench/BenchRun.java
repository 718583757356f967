package org.marjoramswitch.testkit.bench;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.IntStream;
import org.marjoramswitch.kernel.error.Failure;
import org.marjoramswitch.kernel.model.LoadReport;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.TargetOutcome;
import org.marjoramswitch.kernel.model.Usage;
import org.marjoramswitch.testkit.bench.CustomerLoad.Group;

/**
 * Runs one policy in one case with one seed: connects callers, entries and engines in virtual time and collects the
 * measures. When an entry is killed, its open requests are lost and its callers reconnect through another entry.
 */
final class BenchRun {
    static final double PROMPT_TOKEN_COST = 0.1;
    /** Maximum queued requests per customer and entry. */
    static final int MAX_QUEUED = 256;

    /** Upper bound on the time to complete all requests of an entry that receives no new ones. */
    static final long MAX_DRAIN_US = 30 * VirtualClock.US_PER_S;

    private static final long SAMPLE_US = 20_000;
    private static final long REPORT_US = VirtualClock.US_PER_S;
    private static final long REPORT_LAG_US = 300_000;
    private static final long WARM_UP_US = 3 * VirtualClock.US_PER_S;
    private static final long DRAIN_US = 600 * VirtualClock.US_PER_S;
    private static final long PAUSE_US = 2_500_000;
    private static final long DOWNTIME_US = 2 * VirtualClock.US_PER_S;

    private final BenchCase benchCase;
    private final String policy;
    private final VirtualClock clock = VirtualClock.create();
    private final VirtualEngines engines;
    private final Callers callers;
    private final Router router;
    private final ServiceMeter service;
    private final WaitMeter waits = WaitMeter.create();
    private final List<Set<BenchRequest>> openByEntry = new ArrayList<>();
    private final boolean[] down;
    private boolean measuring;
    private long answeredWhileMeasuring;
    private double largestCostTokens;
    private long answered;
    private long refused;
    private long callersLost;
    private long duplicates;

    private BenchRun(BenchCase benchCase, String policy, Function<BenchRun, Router> policyFactory, long seed) {
        this.benchCase = benchCase;
        this.policy = policy;
        down = new boolean[shape().instances()];
        IntStream.range(0, down.length).forEach(entry -> openByEntry.add(new LinkedHashSet<>()));
        engines = VirtualEngines.create(shape(), clock, new EngineListener());
        service = ServiceMeter.create(loads(), engines);
        callers = Callers.create(loads(), clock, entry -> down[entry], this::arrived, down.length, seed);
        router = policyFactory.apply(this);
    }

    static BenchRun create(BenchCase benchCase, String policy, Function<BenchRun, Router> policyFactory, long seed) {
        return new BenchRun(benchCase, policy, policyFactory, seed);
    }

    /** Returns the id of the model pool with this index; the index after the last one is the pool of plain services. */
    static PoolId poolId(int pool) {
        return PoolId.of("pool" + pool);
    }

    /**
     * Runs the warm-up and the measured seconds, then continues until every request has ended or {@code DRAIN_US} has
     * passed.
     */
    BenchResult run(int seconds) {
        router.begin();
        callers.begin();
        scheduleFaults(seconds);
        clock.every(SAMPLE_US, SAMPLE_US, this::sample);
        clock.every(REPORT_US, REPORT_US, this::reportLoads);
        clock.runUntil(WARM_UP_US);
        router.controlBytes().reset();
        service.restart(clock.nowUs());
        measuring = true;
        clock.runUntil(WARM_UP_US + seconds * VirtualClock.US_PER_S);
        measuring = false;
        Map<Measure, Double> values = measured(seconds);
        Map<String, Double> bytesByType = new TreeMap<>();
        router.controlBytes().bytesByType().forEach((type, bytes) -> bytesByType.put(type, perRequest(bytes)));
        callers.end();
        drain();
        putCounts(values);
        return BenchResult.of(benchCase.name(), policy, values, bytesByType);
    }

    private void sample() {
        if (measuring) {
            service.sample(clock.nowUs());
        }
    }

    private void drain() {
        long drainedByUs = clock.nowUs() + DRAIN_US;
        while (clock.nowUs() < drainedByUs && openByEntry.stream().anyMatch(open -> !open.isEmpty())) {
            clock.runUntil(clock.nowUs() + SAMPLE_US);
        }
    }

    BenchCase benchCase() {
        return benchCase;
    }

    BenchShape shape() {
        return benchCase.shape();
    }

    List<CustomerLoad> loads() {
        return benchCase.loads();
    }

    VirtualClock clock() {
        return clock;
    }

    VirtualEngines engines() {
        return engines;
    }

    int poolOf(BenchRequest request) {
        return loads().get(request.load).pool();
    }

    private Group groupOf(BenchRequest request) {
        return loads().get(request.load).group();
    }

    /** Sends the request from its entry to the engine. */
    void dispatch(BenchRequest request, int engine) {
        clock.after(oneWayUs(request, engines.get(engine)), () -> {
            if (!request.hasEnded()) {
                engines.get(engine).admit(request);
            }
        });
    }

    /** Cancels the request's run. The end is reported to the router after the round trip to the engine. */
    void cancel(BenchRequest request, int engine) {
        long oneWayUs = oneWayUs(request, engines.get(engine));
        clock.after(oneWayUs, () -> engines.get(engine).cancel(request));
        clock.after(2 * oneWayUs, () -> router.ended(request, engine, TargetOutcome.CANCELLED, Usage.NONE));
    }

    /** Records that the caller has received the complete response. */
    void complete(BenchRequest request) {
        if (!end(request)) {
            return;
        }
        answered++;
        if (measuring) {
            answeredWhileMeasuring++;
            waits.recordResponse(groupOf(request), clock.nowUs() - request.arrivedUs);
        }
        callers.answered(request);
    }

    /** Records that the request was rejected or failed. */
    void fail(BenchRequest request, Failure failure) {
        if (end(request)) {
            refused++;
            callers.refused(request, failure.retryAfterMs());
        }
    }

    private void arrived(BenchRequest request) {
        openByEntry.get(request.entry).add(request);
        service.recordArrival(request, clock.nowUs());
        router.arrived(request);
    }

    private boolean end(BenchRequest request) {
        boolean wasWaiting = request.isWaiting();
        if (!request.recordEnd()) {
            duplicates++;
            return false;
        }
        if (wasWaiting) {
            service.recordNotWaiting(request, clock.nowUs());
        }
        openByEntry.get(request.entry).remove(request);
        return true;
    }

    private void scheduleFaults(int seconds) {
        long endMs = WARM_UP_US / VirtualClock.US_PER_MS + seconds * 1_000L;
        long everyMs = benchCase.faultEveryMs();
        for (long atMs = everyMs; atMs > 0 && atMs < endMs; atMs += everyMs) {
            clock.after(atMs * VirtualClock.US_PER_MS, () -> injectFault(router.arbiter()));
        }
        if (benchCase.partitionAtMs() == 0) {
            return;
        }
        long partitionUs = benchCase.partitionAtMs() * VirtualClock.US_PER_MS;
        clock.after(partitionUs, () -> router.partitioned(shape().instances() / 2));
        clock.after(partitionUs + benchCase.partitionMs() * VirtualClock.US_PER_MS, router::healed);
    }

    private void injectFault(int instance) {
        switch (benchCase.fault()) {
            case KILLED -> kill(instance);
            case PAUSED -> pause(instance);
            case LEAVING -> leave(instance);
        }
    }

    private void pause(int instance) {
        router.paused(instance);
        clock.after(PAUSE_US, () -> router.resumed(instance));
    }

    /** Callers immediately use other entries; the instance completes the requests that it holds. */
    private void leave(int instance) {
        down[instance] = true;
        router.leaving(instance, () -> clock.after(DOWNTIME_US, () -> restart(instance)));
    }

    private void kill(int instance) {
        down[instance] = true;
        router.killed(instance);
        for (BenchRequest request : List.copyOf(openByEntry.get(instance))) {
            end(request);
            callersLost++;
            engines.all().forEach(engine -> engine.cancel(request));
            callers.entryLost(request);
        }
        clock.after(DOWNTIME_US, () -> restart(instance));
    }

    private void restart(int instance) {
        down[instance] = false;
        router.restarted(instance);
    }

    private void reportLoads() {
        for (VirtualEngine engine : engines.all()) {
            LoadReport report = engine.report();
            IntStream.range(0, down.length)
                    .filter(instance -> router.readsReports(instance, engine.index))
                    .forEach(instance -> clock.after(REPORT_LAG_US, () -> deliver(instance, engine.index, report)));
        }
    }

    private void deliver(int instance, int engine, LoadReport report) {
        if (!down[instance]) {
            router.reported(instance, engine, report);
        }
    }

    private long oneWayUs(BenchRequest request, VirtualEngine engine) {
        return shape().oneWayUs(shape().dataCentreOf(request.entry), engine.dataCentre);
    }

    private Map<Measure, Double> measured(int seconds) {
        Map<Measure, Double> values = new EnumMap<>(Measure.class);
        ControlBytes control = router.controlBytes();
        service.putInto(values, clock.nowUs());
        waits.putInto(values);
        values.put(Measure.CONTROL_BYTES_PER_REQUEST, perRequest(control.sentBytes()));
        values.put(Measure.CONTROL_BYTES_PER_INSTANCE_S, control.meanBytes() / seconds);
        values.put(Measure.CONTROL_BYTES_WORST_INSTANCE_S, (double) control.maxBytes() / seconds);
        values.put(Measure.CONTROL_FRAMES_PER_INSTANCE_S, control.meanFrames() / seconds);
        double boundTokens = router.boundTokens(service.maxSlotsHeld(), largestCostTokens);
        values.put(Measure.BOUND_TOKENS, boundTokens);
        values.put(Measure.SMALL_WAIT_BOUND_MS, boundTokens == 0 ? 0 : smallWaitBoundMs(boundTokens));
        return values;
    }

    /**
     * The customer's own earlier requests are served at its share of the pool. In addition, each other customer of the
     * pool may first have to be compensated up to the bound on the gap.
     */
    private double smallWaitBoundMs(double boundTokens) {
        long customers = loads().stream().filter(load -> load.pool() == 0).count();
        int ownRequests = loads().stream()
                .filter(load -> load.group() == Group.SMALL)
                .mapToInt(load -> Math.max(1, load.outstanding()))
                .max()
                .orElse(1);
        double tokens = customers * (ownRequests * largestCostTokens + boundTokens);
        double poolTokensPerS = shape().tokensPerS() / shape().pools();
        return tokens / poolTokensPerS * VirtualClock.US_PER_S / VirtualClock.US_PER_MS;
    }

    private void putCounts(Map<Measure, Double> values) {
        long lost = openByEntry.stream().mapToLong(Set::size).sum();
        values.put(Measure.REQUESTS, (double) callers.requests());
        values.put(Measure.ANSWERED, (double) answered);
        values.put(Measure.REFUSED_NOT_RUN, (double) refused);
        values.put(Measure.CALLERS_LOST, (double) callersLost);
        values.put(Measure.LOST, (double) lost);
        values.put(Measure.DOUBLED, (double) duplicates);
    }

    private double perRequest(long bytes) {
        return (double) bytes / Math.max(1, answeredWhileMeasuring);
    }

    /** Passes engine events to the meters immediately and to the entries after the network delay. */
    private final class EngineListener implements VirtualEngine.Listener {
        @Override
        public void started(VirtualEngine.Run run) {
            BenchRequest request = run.request;
            long uncachedTokens = request.spec.promptTokens() - run.cachedPromptTokens();
            if (request.isWaiting()) {
                service.recordNotWaiting(request, clock.nowUs());
                recordStart(request);
            }
            if (request.recordExecution() > 1 && !request.spec.repeatable()) {
                duplicates++;
            }
            service.addRunning(request, 1, clock.nowUs());
            service.addService(request, PROMPT_TOKEN_COST * uncachedTokens);
            double costTokens = request.outputTokens + PROMPT_TOKEN_COST * request.spec.promptTokens();
            largestCostTokens = Math.max(largestCostTokens, costTokens);
        }

        private void recordStart(BenchRequest request) {
            if (measuring) {
                waits.recordStart(groupOf(request), clock.nowUs() - request.arrivedUs);
            }
        }

        @Override
        public void progressed(VirtualEngine engine, VirtualEngine.Run run, long outputTokens) {
            deliverToEntry(engine, run.request, () -> router.progressed(run.request, outputTokens));
        }

        @Override
        public void stopped(VirtualEngine.Run run) {
            service.addRunning(run.request, -1, clock.nowUs());
            service.addService(run.request, (double) run.deliveredTokens());
        }

        @Override
        public void ended(VirtualEngine engine, VirtualEngine.Run run) {
            Usage usage = run.usage();
            deliverToEntry(
                    engine, run.request, () -> router.ended(run.request, engine.index, TargetOutcome.COMPLETED, usage));
        }

        private void deliverToEntry(VirtualEngine engine, BenchRequest request, Runnable task) {
            clock.after(oneWayUs(request, engine), () -> {
                if (!request.hasEnded()) {
                    recordResponsePart(request);
                    task.run();
                }
            });
        }

        private void recordResponsePart(BenchRequest request) {
            if (request.recordResponsePart() && measuring) {
                waits.recordFirstToken(groupOf(request), clock.nowUs() - request.arrivedUs);
            }
        }
    }
}
