package org.marjoramswitch.testkit.bench;

import org.marjoramswitch.kernel.model.TargetOutcome;
import org.marjoramswitch.kernel.model.Usage;

/** Policy without queues: each entry forwards every request immediately to the pool's targets in round-robin order. */
final class RoundRobinRouter implements Router {
    private final BenchRun run;
    private final int[] nextByEntry;

    private RoundRobinRouter(BenchRun run) {
        this.run = run;
        nextByEntry = new int[run.shape().instances()];
    }

    static RoundRobinRouter create(BenchRun run) {
        return new RoundRobinRouter(run);
    }

    @Override
    public void arrived(BenchRequest request) {
        int[] engines = run.engines().ofPool(run.poolOf(request));
        run.dispatch(request, engines[nextByEntry[request.entry]++ % engines.length]);
    }

    @Override
    public void ended(BenchRequest request, int engine, TargetOutcome outcome, Usage usage) {
        run.complete(request);
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
        nextByEntry[instance] = 0;
    }
}
