package org.marjoramswitch.testkit.bench;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.marjoramswitch.kernel.model.LoadReport;
import org.marjoramswitch.kernel.model.Usage;

/**
 * Simulated engine with continuous batching in virtual time: up to {@code slots} requests run concurrently, and each
 * step generates a token for each of them. Further requests wait in a FIFO queue, since the engine does not distinguish
 * customers. Plain services use the same model with a step of one millisecond. Prompt prefixes are cached (LRU); each
 * uncached prompt token adds prefill time before the first output token.
 */
final class VirtualEngine {
    private static final long PREFILL_US_PER_TOKEN = 10;
    private static final int CACHED_PREFIXES = 32;
    private static final double PREFIX_SHARE = 0.5;
    /** Interval of progress notifications after the first token. */
    private static final long PROGRESS_TOKENS = 8;

    final int index;
    final int pool;
    final int dataCentre;
    private final int slots;
    private final long stepUs;
    private final VirtualClock clock;
    private final Listener listener;
    private final Set<Run> running = new LinkedHashSet<>();
    private final ArrayDeque<Run> queue = new ArrayDeque<>();
    private final LinkedHashMap<Long, Boolean> prefixes = new LinkedHashMap<>(CACHED_PREFIXES, 0.75f, true);

    private VirtualEngine(int index, int pool, int dataCentre, Size size, VirtualClock clock, Listener listener) {
        this.index = index;
        this.pool = pool;
        this.dataCentre = dataCentre;
        this.slots = size.slots();
        this.stepUs = size.stepUs();
        this.clock = clock;
        this.listener = listener;
    }

    static VirtualEngine create(int index, int pool, int dataCentre, Size size, VirtualClock clock, Listener listener) {
        return new VirtualEngine(index, pool, dataCentre, size, clock, listener);
    }

    int slots() {
        return slots;
    }

    Set<Run> runs() {
        return running;
    }

    LoadReport report() {
        return LoadReport.of(clock.nowMs(), running.size(), queue.size(), slots);
    }

    void admit(BenchRequest request) {
        Run run = new Run(request);
        if (running.size() < slots) {
            start(run);
        } else {
            queue.add(run);
        }
    }

    /** Aborts a run or removes the request from the queue. The listener is notified only of the freed slot. */
    void cancel(BenchRequest request) {
        queue.removeIf(run -> run.request == request);
        for (Iterator<Run> runs = running.iterator(); runs.hasNext(); ) {
            Run run = runs.next();
            if (run.request == request) {
                runs.remove();
                run.cancelled = true;
                listener.stopped(run);
                startNext();
                return;
            }
        }
    }

    private void start(Run run) {
        running.add(run);
        run.startedUs = clock.nowUs();
        run.cachedPromptTokens = cachedTokens(run.request);
        run.prefillUs = (run.request.spec.promptTokens() - run.cachedPromptTokens) * PREFILL_US_PER_TOKEN;
        listener.started(run);
        scheduleTokens(run, 1);
    }

    private long cachedTokens(BenchRequest request) {
        if (request.spec.prefixHash() == 0) {
            return 0;
        }
        boolean cached = prefixes.put(request.spec.prefixHash(), true) != null;
        if (prefixes.size() > CACHED_PREFIXES) {
            Iterator<Map.Entry<Long, Boolean>> eldest = prefixes.entrySet().iterator();
            eldest.next();
            eldest.remove();
        }
        return cached ? (long) (request.spec.promptTokens() * PREFIX_SHARE) : 0;
    }

    private void scheduleTokens(Run run, long tokens) {
        long dueUs = run.startedUs + run.prefillUs + tokens * stepUs;
        clock.after(dueUs - clock.nowUs(), () -> reachTokens(run, tokens));
    }

    private void reachTokens(Run run, long tokens) {
        if (run.cancelled) {
            return;
        }
        if (tokens < run.request.outputTokens) {
            listener.progressed(this, run, tokens);
            scheduleTokens(run, Math.min(run.request.outputTokens, tokens + PROGRESS_TOKENS));
            return;
        }
        running.remove(run);
        listener.stopped(run);
        listener.ended(this, run);
        startNext();
    }

    private void startNext() {
        Run next = queue.poll();
        if (next != null) {
            start(next);
        }
    }

    /** Number of concurrent requests and duration of a step. */
    record Size(int slots, long stepUs) {}

    /** One execution of a request. */
    final class Run {
        final BenchRequest request;
        private long startedUs;
        private long prefillUs;
        private long cachedPromptTokens;
        private boolean cancelled;

        private Run(BenchRequest request) {
            this.request = request;
        }

        long cachedPromptTokens() {
            return cachedPromptTokens;
        }

        /** Returns the usage that the target reports at the end. */
        Usage usage() {
            return Usage.of(
                    request.spec.promptTokens(),
                    cachedPromptTokens,
                    request.outputTokens,
                    elapsedUs() / VirtualClock.US_PER_MS);
        }

        private long elapsedUs() {
            return clock.nowUs() - startedUs;
        }

        /** Returns the number of output tokens generated so far. */
        long deliveredTokens() {
            long steps = (elapsedUs() - prefillUs) / stepUs;
            return Math.max(0, Math.min(request.outputTokens, steps));
        }
    }

    /** Receives engine events without delay. */
    interface Listener {
        void started(Run run);

        void progressed(VirtualEngine engine, Run run, long outputTokens);

        /** The run has freed its slot, because it ended or was cancelled. */
        void stopped(Run run);

        /** The run has generated its complete output. */
        void ended(VirtualEngine engine, Run run);
    }
}
