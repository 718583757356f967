package org.marjoramswitch.kernel.placement;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.marjoramswitch.kernel.model.PromptPart;

/**
 * The prompt parts that one engine probably keeps: those of the requests it was sent, the least recently used dropped
 * first, as engines do. A part counts as kept only where all parts before it are. It is a guess, since the engine also
 * drops parts to make room for running requests; a wrong one costs reading time only.
 */
final class PromptCache {
    /** Bounds the book of an engine whose memory is not known. */
    private static final int MAX_PARTS = 20_000;

    private static final float LOAD_FACTOR = 0.75f;

    private final Map<Long, Integer> tokensByPart = new LinkedHashMap<>(16, LOAD_FACTOR, true);
    private long keptTokens;

    /** The tokens of the prompt that the engine would have to read. */
    long uncachedTokens(List<PromptPart> prompt) {
        long tokens = 0;
        boolean kept = true;
        for (PromptPart part : prompt) {
            kept = kept && tokensByPart.containsKey(part.id());
            tokens += kept ? 0 : part.tokens();
        }
        return tokens;
    }

    /** The engine reads this prompt. */
    void read(List<PromptPart> prompt, long memoryTokens) {
        for (PromptPart part : prompt) {
            Integer known = tokensByPart.put(part.id(), part.tokens());
            keptTokens += part.tokens() - (known == null ? 0 : known);
        }
        trim(memoryTokens);
    }

    private void trim(long memoryTokens) {
        Iterator<Map.Entry<Long, Integer>> eldestFirst = tokensByPart.entrySet().iterator();
        while (tokensByPart.size() > MAX_PARTS || (memoryTokens > 0 && keptTokens > memoryTokens)) {
            keptTokens -= eldestFirst.next().getValue();
            eldestFirst.remove();
        }
    }
}
