package org.marjoramswitch.testkit.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.error.Failure;
import org.marjoramswitch.kernel.model.TargetOutcome;
import org.marjoramswitch.kernel.model.Usage;

/**
 * Policy with an independent fair queue per entry. Each entry maintains its own virtual token counters: the customer
 * with the least counter is served first, the prompt is charged at the start and the output as it is generated, and a
 * counter is lifted when its customer becomes backlogged again. A request is sent to the target with the fewest
 * in-flight requests of this entry, up to the target's slots.
 */
final class IndependentRouter implements Router {
    private final BenchRun run;
    private final List<Entry> entries = new ArrayList<>();

    private IndependentRouter(BenchRun run) {
        this.run = run;
        for (int entry = 0; entry < run.shape().instances(); entry++) {
            entries.add(new Entry());
        }
    }

    static IndependentRouter create(BenchRun run) {
        return new IndependentRouter(run);
    }

    @Override
    public void arrived(BenchRequest request) {
        Entry entry = entries.get(request.entry);
        if (entry.queues.get(request.load).size() >= BenchRun.MAX_QUEUED) {
            run.fail(
                    request,
                    Failure.notRun(
                            ErrorType.CUSTOMER_QUEUE_FULL,
                            0,
                            request.spec.customer().name()));
            return;
        }
        entry.enqueue(request);
        entry.dispatchWaiting(run.poolOf(request));
    }

    @Override
    public void progressed(BenchRequest request, long outputTokens) {
        entries.get(request.entry).charge(request, outputTokens);
    }

    @Override
    public void ended(BenchRequest request, int engine, TargetOutcome outcome, Usage usage) {
        Entry entry = entries.get(request.entry);
        entry.charge(request, usage.outputTokens());
        entry.inFlight[engine]--;
        run.complete(request);
        entry.dispatchWaiting(run.poolOf(request));
    }

    @Override
    public int arbiter() {
        return 0;
    }

    /** The callers already use other entries. Completion is not tracked, so the callback runs after an upper bound. */
    @Override
    public void leaving(int instance, Runnable onDrained) {
        run.clock().after(BenchRun.MAX_DRAIN_US, onDrained);
    }

    @Override
    public void killed(int instance) {
        entries.set(instance, new Entry());
    }

    private final class Entry {
        private final int[] inFlight = new int[run.engines().all().size()];
        private final double[] counterTokens = new double[run.loads().size()];
        private final List<ArrayDeque<BenchRequest>> queues = new ArrayList<>();
        private final java.util.Map<BenchRequest, Long> chargedTokens = new java.util.HashMap<>();

        private Entry() {
            run.loads().forEach(load -> queues.add(new ArrayDeque<>()));
        }

        private void enqueue(BenchRequest request) {
            if (queues.get(request.load).isEmpty()) {
                liftCounter(request.load);
            }
            queues.get(request.load).add(request);
        }

        private void liftCounter(int load) {
            int least = leastServed(run.loads().get(load).pool());
            if (least >= 0) {
                counterTokens[load] = Math.max(counterTokens[load], counterTokens[least]);
            }
        }

        private int leastServed(int pool) {
            int least = -1;
            for (int load = 0; load < counterTokens.length; load++) {
                boolean isWaiting = run.loads().get(load).pool() == pool
                        && !queues.get(load).isEmpty();
                if (isWaiting && (least < 0 || counterTokens[load] < counterTokens[least])) {
                    least = load;
                }
            }
            return least;
        }

        private void dispatchWaiting(int pool) {
            for (int load = leastServed(pool); load >= 0; load = leastServed(pool)) {
                int engine = leastLoaded(pool);
                if (engine < 0) {
                    return;
                }
                BenchRequest request = queues.get(load).remove();
                counterTokens[load] += BenchRun.PROMPT_TOKEN_COST * request.spec.promptTokens();
                inFlight[engine]++;
                run.dispatch(request, engine);
            }
        }

        private int leastLoaded(int pool) {
            int least = -1;
            for (int engine : run.engines().ofPool(pool)) {
                boolean free = inFlight[engine] < run.engines().get(engine).slots();
                if (free && (least < 0 || inFlight[engine] < inFlight[least])) {
                    least = engine;
                }
            }
            return least;
        }

        private void charge(BenchRequest request, long outputTokens) {
            @Nullable Long before = chargedTokens.put(request, outputTokens);
            counterTokens[request.load] += outputTokens - (before == null ? 0 : before);
        }
    }
}
