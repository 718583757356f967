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
 * One run of one policy over one case with one seed: joins callers, entries and engines in virtual time and measures.
 * Callers of an entry that is killed are lost with it and come back through another one.
 */
final class BenchRun {
    static final double PROMPT_TOKEN_COST = 0.1;
    /** How many requests of a customer may wait at an entry. */
    static final int MAX_QUEUED = 256;

    /** The longest that a request lasts once nothing more joins its entry's queue. */
    static final long LEAVES_WITHIN_US = 30 * VirtualClock.US_PER_S;

    private static final long SAMPLE_US = 20_000;
    private static final long REPORT_US = VirtualClock.US_PER_S;
    private static final long REPORT_LAG_US = 300_000;
    private static final long WARM_UP_US = 3 * VirtualClock.US_PER_S;
    private static final long DRAIN_US = 600 * VirtualClock.US_PER_S;
    private static final long PAUSED_US = 2_500_000;
    private static final long DOWN_US = 2 * VirtualClock.US_PER_S;

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
    private long answeredMeasured;
    private double largestCostTokens;
    private long answered;
    private long refused;
    private long callersLost;
    private long doubled;

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

    /** Name of the model pool with this index, or of the plain services' pool after them. */
    static PoolId poolId(int pool) {
        return PoolId.of("pool" + pool);
    }

    /** Runs the warm-up, the measured seconds, and on until every request has ended. */
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
            if (!request.ended()) {
                engines.get(engine).admit(request);
            }
        });
    }

    /** Cancels the request's run; its end is reported when the engine has heard of it. */
    void cancel(BenchRequest request, int engine) {
        long oneWayUs = oneWayUs(request, engines.get(engine));
        clock.after(oneWayUs, () -> engines.get(engine).cancel(request));
        clock.after(2 * oneWayUs, () -> router.ended(request, engine, TargetOutcome.CANCELLED, Usage.NONE));
    }

    /** The caller has its whole answer. */
    void complete(BenchRequest request) {
        if (!end(request)) {
            return;
        }
        answered++;
        if (measuring) {
            answeredMeasured++;
            waits.noteAnswered(groupOf(request), clock.nowUs() - request.arrivedUs);
        }
        callers.answered(request);
    }

    /** The caller is refused, or told of a failure. */
    void fail(BenchRequest request, Failure failure) {
        if (end(request)) {
            refused++;
            callers.refused(request, failure.retryAfterMs());
        }
    }

    private void arrived(BenchRequest request) {
        openByEntry.get(request.entry).add(request);
        service.noteArrived(request, clock.nowUs());
        router.arrived(request);
    }

    private boolean end(BenchRequest request) {
        boolean waited = request.waiting();
        if (!request.noteEnd()) {
            doubled++;
            return false;
        }
        if (waited) {
            service.noteNotWaiting(request, clock.nowUs());
        }
        openByEntry.get(request.entry).remove(request);
        return true;
    }

    private void scheduleFaults(int seconds) {
        long endMs = WARM_UP_US / VirtualClock.US_PER_MS + seconds * 1_000L;
        long everyMs = benchCase.faultEveryMs();
        for (long atMs = everyMs; atMs > 0 && atMs < endMs; atMs += everyMs) {
            clock.after(atMs * VirtualClock.US_PER_MS, () -> befall(router.arbiter()));
        }
        if (benchCase.partitionAtMs() == 0) {
            return;
        }
        long partitionUs = benchCase.partitionAtMs() * VirtualClock.US_PER_MS;
        clock.after(partitionUs, () -> router.partitioned(shape().instances() / 2));
        clock.after(partitionUs + benchCase.partitionMs() * VirtualClock.US_PER_MS, router::healed);
    }

    private void befall(int instance) {
        switch (benchCase.fault()) {
            case KILLED -> kill(instance);
            case PAUSED -> pause(instance);
            case LEAVING -> leave(instance);
        }
    }

    private void pause(int instance) {
        router.paused(instance);
        clock.after(PAUSED_US, () -> router.resumed(instance));
    }

    /** Callers are handed other addresses at once; the requests that the instance holds are finished. */
    private void leave(int instance) {
        down[instance] = true;
        router.leaving(instance, () -> clock.after(DOWN_US, () -> restart(instance)));
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
        clock.after(DOWN_US, () -> restart(instance));
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
        values.put(Measure.CONTROL_BYTES_WORST_INSTANCE_S, (double) control.worstBytes() / seconds);
        values.put(Measure.CONTROL_FRAMES_PER_INSTANCE_S, control.meanFrames() / seconds);
        double boundTokens = router.boundTokens(service.mostSlotsHeld(), largestCostTokens);
        values.put(Measure.BOUND_TOKENS, boundTokens);
        values.put(Measure.SMALL_WAIT_BOUND_MS, boundTokens == 0 ? 0 : smallWaitBoundMs(boundTokens));
        return values;
    }

    /**
     * A customer's own requests before this one are served at its share, and the gap's bound to each other customer of
     * the pool may have to be made good before that.
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
        values.put(Measure.DOUBLED, (double) doubled);
    }

    private double perRequest(long bytes) {
        return (double) bytes / Math.max(1, answeredMeasured);
    }

    /** Carries what happens in the engines to the meters at once, and to the entries with the network's delay. */
    private final class EngineListener implements VirtualEngine.Listener {
        @Override
        public void started(VirtualEngine.Run run) {
            BenchRequest request = run.request;
            long uncachedTokens = request.spec.promptTokens() - run.cachedPromptTokens();
            if (request.waiting()) {
                service.noteNotWaiting(request, clock.nowUs());
                noteStart(request);
            }
            if (request.noteExecution() > 1 && !request.spec.repeatable()) {
                doubled++;
            }
            service.noteRunning(request, 1, clock.nowUs());
            service.addService(request, PROMPT_TOKEN_COST * uncachedTokens);
            double costTokens = request.outputTokens + PROMPT_TOKEN_COST * request.spec.promptTokens();
            largestCostTokens = Math.max(largestCostTokens, costTokens);
        }

        private void noteStart(BenchRequest request) {
            if (measuring) {
                waits.noteStart(groupOf(request), clock.nowUs() - request.arrivedUs);
            }
        }

        @Override
        public void progressed(VirtualEngine engine, VirtualEngine.Run run, long outputTokens) {
            atEntry(engine, run.request, () -> router.progressed(run.request, outputTokens));
        }

        @Override
        public void stopped(VirtualEngine.Run run) {
            service.noteRunning(run.request, -1, clock.nowUs());
            service.addService(run.request, (double) run.deliveredTokens());
        }

        @Override
        public void ended(VirtualEngine engine, VirtualEngine.Run run) {
            Usage usage = run.usage();
            atEntry(engine, run.request, () -> router.ended(run.request, engine.index, TargetOutcome.COMPLETED, usage));
        }

        private void atEntry(VirtualEngine engine, BenchRequest request, Runnable what) {
            clock.after(oneWayUs(request, engine), () -> {
                if (!request.ended()) {
                    noteAnswer(request);
                    what.run();
                }
            });
        }

        private void noteAnswer(BenchRequest request) {
            if (request.noteAnswer() && measuring) {
                waits.noteFirstToken(groupOf(request), clock.nowUs() - request.arrivedUs);
            }
        }
    }
}
