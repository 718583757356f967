package org.marjoramswitch.kernel.placement;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongConsumer;
import org.marjoramswitch.kernel.model.PromptPart;

/**
 * The prompt parts that one engine probably keeps: those of the requests it was sent, the least recently used dropped
 * first, as engines do. A part counts as kept only where all parts before it are. It is a guess, since the engine also
 * drops parts to make room for running requests; a wrong one costs reading time only.
 *
 * <p>A part that was sent is one that the engine will have read when the next request gets there, which is enough to send
 * that one after it. Another engine finds it only once it was read, which the first byte of an answer shows.
 */
final class PromptCache {
    /** Bounds the book of an engine whose memory is not known. */
    private static final int MAX_PARTS = 20_000;

    /** The least recently used first; in order of putting, so that a look-up for a choice does not count as a use. */
    private final Map<Long, Kept> partsById = new LinkedHashMap<>();

    private final LongConsumer onKept;
    private final LongConsumer onDropped;
    private long keptTokens;

    private PromptCache(LongConsumer onKept, LongConsumer onDropped) {
        this.onKept = onKept;
        this.onDropped = onDropped;
    }

    /**
     * An empty book.
     *
     * @param onKept told of each part that is new in it
     * @param onDropped told of each part that leaves it
     */
    static PromptCache create(LongConsumer onKept, LongConsumer onDropped) {
        return new PromptCache(onKept, onDropped);
    }

    /** The tokens of the prompt that the engine would have to read. */
    long uncachedTokens(List<PromptPart> prompt) {
        long tokens = 0;
        boolean kept = true;
        for (PromptPart part : prompt) {
            kept = kept && partsById.containsKey(part.id());
            tokens += kept ? 0 : part.tokens();
        }
        return tokens;
    }

    /** The tokens of the prompt that another engine would find here. */
    long readTokens(List<PromptPart> prompt) {
        long tokens = 0;
        for (PromptPart part : prompt) {
            Kept kept = partsById.get(part.id());
            if (kept == null || !kept.read()) {
                return tokens;
            }
            tokens += part.tokens();
        }
        return tokens;
    }

    /** The engine gets this prompt. */
    void sent(List<PromptPart> prompt, long memoryTokens) {
        put(prompt, false);
        trim(memoryTokens);
    }

    /** The engine has read this prompt, and keeps it at least while it answers. */
    void read(List<PromptPart> prompt, long memoryTokens) {
        put(prompt, true);
        trim(memoryTokens);
    }

    /** The engine did not run the request of this prompt: what only that one brought is not there. */
    void notRead(List<PromptPart> prompt) {
        for (PromptPart part : prompt) {
            Kept kept = partsById.get(part.id());
            if (kept != null && !kept.read()) {
                partsById.remove(part.id());
                keptTokens -= kept.tokens();
                onDropped.accept(part.id());
            }
        }
    }

    private void put(List<PromptPart> prompt, boolean read) {
        for (PromptPart part : prompt) {
            Kept known = partsById.remove(part.id());
            boolean readBefore = known != null && known.read();
            partsById.put(part.id(), new Kept(part.tokens(), read || readBefore));
            keptTokens += part.tokens() - (known == null ? 0 : known.tokens());
            if (known == null) {
                onKept.accept(part.id());
            }
        }
    }

    private void trim(long memoryTokens) {
        Iterator<Map.Entry<Long, Kept>> eldestFirst = partsById.entrySet().iterator();
        while (partsById.size() > MAX_PARTS || (memoryTokens > 0 && keptTokens > memoryTokens)) {
            Map.Entry<Long, Kept> eldest = eldestFirst.next();
            keptTokens -= eldest.getValue().tokens();
            eldestFirst.remove();
            onDropped.accept(eldest.getKey());
        }
    }

    /** The engine keeps nothing any more, or is gone. */
    void clear() {
        partsById.keySet().forEach(onDropped::accept);
        partsById.clear();
        keptTokens = 0;
    }

    private record Kept(int tokens, boolean read) {}
}
