package org.marjoramswitch.kernel.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.model.PromptPart;
import org.marjoramswitch.kernel.settings.EngineMemory;

/**
 * A model engine in virtual time: continuous batching with chunked prompt reading. In each step it reads the next chunk
 * of the oldest unread prompt and makes one token for each running request; a request runs from its first token on. It
 * keeps the parts that it has read, the least recently used dropped first, in what running requests leave of its memory.
 */
final class SimulatedEngine {
    private static final int CHUNK_TOKENS = 2_048;

    private final Speed speed;
    private final Deque<Generation> queued = new ArrayDeque<>();
    private final Deque<Generation> reading = new ArrayDeque<>();
    private final List<Generation> running = new ArrayList<>();
    private final Map<Long, Integer> kept = new LinkedHashMap<>(16, 0.75f, true);
    private long cachedTokens;
    private double stepEndsMs;
    private boolean stepping;
    private long chunkTokens;
    private final Set<Long> readAnywhere;
    long readTokens;
    long rereadTokens;
    long fetchedTokens;

    /**
     * How fast an engine is.
     *
     * @param slots requests that it works on at once
     * @param stepMs one step without anything in it
     * @param slotMs added for each running request
     * @param readPerMs prompt tokens read in a millisecond
     * @param memory for running requests and kept parts
     */
    record Speed(int slots, double stepMs, double slotMs, double readPerMs, EngineMemory memory) {
        Speed fetching(double fetchMsPerToken) {
            return new Speed(slots, stepMs, slotMs, readPerMs, EngineMemory.fetching(memory.tokens(), fetchMsPerToken));
        }
    }

    /** One request at an engine. */
    static final class Generation {
        final List<PromptPart> prompt;
        final int outputTokens;
        final @Nullable SimulatedEngine fetchFrom;
        final Listener listener;
        private final Set<Long> unreadParts = new HashSet<>();
        private long unreadTokens;
        private int made;

        Generation(List<PromptPart> prompt, int outputTokens, @Nullable SimulatedEngine fetchFrom, Listener listener) {
            this.prompt = prompt;
            this.outputTokens = outputTokens;
            this.fetchFrom = fetchFrom;
            this.listener = listener;
        }
    }

    /** Hears of a request's first token and end. */
    interface Listener {
        void onFirst(double nowMs);

        void onEnd(double nowMs);
    }

    /** @param readAnywhere the shared parts that some engine has read */
    SimulatedEngine(Speed speed, Set<Long> readAnywhere) {
        this.speed = speed;
        this.readAnywhere = readAnywhere;
    }

    void take(Generation generation, double nowMs) {
        queued.add(generation);
        if (!stepping) {
            beginStep(nowMs);
        }
    }

    /** Makes the steps that end by then. */
    void advance(double nowMs) {
        while (stepping && stepEndsMs <= nowMs) {
            endStep(stepEndsMs);
            beginStep(stepEndsMs);
        }
    }

    private void beginStep(double nowMs) {
        while (!queued.isEmpty() && running.size() + reading.size() < speed.slots()) {
            admit(queued.poll());
        }
        stepping = !running.isEmpty() || !reading.isEmpty();
        if (!stepping) {
            return;
        }
        chunkTokens = reading.isEmpty() ? 0 : Math.min(CHUNK_TOKENS, reading.peek().unreadTokens);
        stepEndsMs = nowMs + speed.stepMs() + speed.slotMs() * running.size() + chunkTokens / speed.readPerMs();
    }

    private void admit(Generation generation) {
        long unread = 0;
        boolean all = true;
        boolean source = generation.fetchFrom != null;
        for (PromptPart part : generation.prompt) {
            all = all && kept.containsKey(part.id());
            source = source && generation.fetchFrom.hasRead(part);
            boolean fetched = !all && source;
            fetchedTokens += fetched ? part.tokens() : 0;
            if (!all && !fetched) {
                unread += part.tokens();
                generation.unreadParts.add(part.id());
            }
            boolean own = part.equals(generation.prompt.get(generation.prompt.size() - 1));
            if (!all && !fetched && !own && !readAnywhere.add(part.id())) {
                rereadTokens += part.tokens();
            }
            Integer before = kept.put(part.id(), part.tokens());
            cachedTokens += part.tokens() - (before == null ? 0 : before);
        }
        generation.unreadTokens = Math.max(1, unread);
        readTokens += unread;
        reading.add(generation);
        Iterator<Integer> eldest = kept.values().iterator();
        while (cachedTokens > speed.memory().tokens()) {
            cachedTokens -= eldest.next();
            eldest.remove();
        }
    }

    /** What is kept and not of a prompt that is still to be read, so that another engine finds it here. */
    private boolean hasRead(PromptPart part) {
        return kept.containsKey(part.id())
                && reading.stream().noneMatch(other -> other.unreadParts.contains(part.id()));
    }

    private void endStep(double nowMs) {
        for (Iterator<Generation> all = running.iterator(); all.hasNext(); ) {
            Generation generation = all.next();
            generation.made++;
            if (generation.made >= generation.outputTokens) {
                all.remove();
                generation.listener.onEnd(nowMs);
            }
        }
        Generation read = reading.peek();
        if (read == null) {
            return;
        }
        read.unreadTokens -= chunkTokens;
        if (read.unreadTokens <= 0) {
            reading.poll();
            running.add(read);
            read.listener.onFirst(nowMs);
        }
    }
}
