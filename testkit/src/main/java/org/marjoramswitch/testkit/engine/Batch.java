package org.marjoramswitch.testkit.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Requests of an engine: those running in the batch, and a FIFO queue of the others. The queue is unbounded and has no
 * priorities. Used only by the step thread.
 */
final class Batch {
    private final EngineOptions options;
    private final PrefixCache cache;
    private final EngineCounter counter;
    private final Deque<Generation> queue = new ArrayDeque<>();
    private final List<Generation> running = new ArrayList<>();

    Batch(EngineOptions options, PrefixCache cache, EngineCounter counter) {
        this.options = options;
        this.cache = cache;
        this.counter = counter;
    }

    int running() {
        return running.size();
    }

    int queued() {
        return queue.size();
    }

    void add(Generation generation) {
        queue.add(generation);
    }

    void cancel(Generation generation) {
        if (generation.isOver()) {
            return;
        }
        queue.remove(generation);
        boolean wasRunning = running.remove(generation);
        generation.cancel();
        counter.cancelled(generation.request(), wasRunning);
    }

    void clear() {
        new ArrayList<>(queue).forEach(this::cancel);
        new ArrayList<>(running).forEach(this::cancel);
    }

    /** Runs one step, {@code ms} after the previous one. */
    void step(double ms) {
        counter.addSlotTime(running.size(), options.maxBatch - running.size(), ms);
        running.forEach(this::advance);
        running.removeIf(Generation::isOver);
        admit();
    }

    private void advance(Generation generation) {
        if (!generation.step()) {
            return;
        }
        counter.tokenGenerated(generation.request());
        if (generation.isOver()) {
            counter.completed(generation.request());
        }
    }

    private void admit() {
        while (running.size() < options.maxBatch && !queue.isEmpty()) {
            Generation next = queue.remove();
            ChatRequest request = next.request();
            boolean hit = cache.touch(request.prefixHash());
            int cachedTokens = hit ? request.prefixTokens() : 0;
            int uncachedTokens = request.promptTokens() - cachedTokens;
            next.start(cachedTokens, prefillSteps(uncachedTokens));
            counter.started(request, cachedTokens);
            running.add(next);
        }
    }

    private int prefillSteps(int uncachedTokens) {
        return (uncachedTokens + options.prefillTokensPerStep - 1) / options.prefillTokensPerStep;
    }
}
