package org.marjoramswitch.testkit.bench;

import org.marjoramswitch.kernel.model.RequestSpec;

/** A simulated request with its output length, which only the engine knows, and its state in the benchmark. */
final class BenchRequest {
    final RequestSpec spec;
    final int load;
    final int entry;
    final long outputTokens;
    final long arrivedUs;
    private int executions;
    private boolean started;
    private boolean responding;
    private boolean ended;

    private BenchRequest(RequestSpec spec, int load, int entry, long outputTokens, long arrivedUs) {
        this.spec = spec;
        this.load = load;
        this.entry = entry;
        this.outputTokens = outputTokens;
        this.arrivedUs = arrivedUs;
    }

    static BenchRequest of(RequestSpec spec, int load, int entry, long outputTokens, long arrivedUs) {
        return new BenchRequest(spec, load, entry, outputTokens, arrivedUs);
    }

    /** Records the start of an execution and returns the number of executions so far. */
    int recordExecution() {
        started = true;
        return ++executions;
    }

    /** Returns true until a target starts executing the request or the request ends. */
    boolean isWaiting() {
        return !started && !ended;
    }

    /** Records a part of the response and returns true for the first one. */
    boolean recordResponsePart() {
        boolean first = !responding;
        responding = true;
        return first;
    }

    /** Records the end of the request and returns false if it had already ended. */
    boolean recordEnd() {
        boolean first = !ended;
        ended = true;
        return first;
    }

    boolean hasEnded() {
        return ended;
    }
}
