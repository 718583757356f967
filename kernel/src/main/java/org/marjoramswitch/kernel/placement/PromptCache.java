package org.marjoramswitch.kernel.placement;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongConsumer;
import org.marjoramswitch.kernel.model.PromptPart;

/**
 * Tracks the prompt parts that one engine probably has cached: those of the requests sent to it, evicted in
 * least-recently-used order as engines do. A part counts as cached only if all parts before it are. The result is an
 * estimate, since the engine also evicts parts to make room for running requests; a wrong one only costs prefill time.
 * Where memory is scarce, {@link #trimUnused} takes account of that.
 *
 * <p>A dispatched part will have been prefilled by the time the engine reaches the next request, which is enough to
 * send that request there. Other engines can fetch a part only after its prefill, which the first byte of a response
 * shows.
 */
final class PromptCache {
    /** Bounds the entries for an engine whose memory size is unknown. */
    private static final int MAX_PARTS = 20_000;

    /**
     * In insertion order, the least recently used first. Not in access order, so that a lookup for a choice does not
     * count as a use.
     */
    private final Map<Long, CachedPart> partsById = new LinkedHashMap<>();

    /** Number of running requests that use a part. */
    private final Map<Long, PartUse> usesById = new HashMap<>();

    private final LongConsumer onAdded;
    private final LongConsumer onDropped;
    private long cachedTokens;
    private long usedTokens;

    private PromptCache(LongConsumer onAdded, LongConsumer onDropped) {
        this.onAdded = onAdded;
        this.onDropped = onDropped;
    }

    /**
     * Creates an empty cache.
     *
     * @param onAdded receives the id of each part that is added
     * @param onDropped receives the id of each part that is evicted or removed
     */
    static PromptCache create(LongConsumer onAdded, LongConsumer onDropped) {
        return new PromptCache(onAdded, onDropped);
    }

    /** The prompt tokens that the engine would have to prefill. */
    long uncachedTokens(List<PromptPart> prompt) {
        long tokens = 0;
        boolean cached = true;
        for (PromptPart part : prompt) {
            cached = cached && partsById.containsKey(part.id());
            tokens += cached ? 0 : part.tokens();
        }
        return tokens;
    }

    /** The leading prompt tokens that another engine could fetch from this one. */
    long prefilledTokens(List<PromptPart> prompt) {
        long tokens = 0;
        for (PromptPart part : prompt) {
            CachedPart cached = partsById.get(part.id());
            if (cached == null || !cached.prefilled()) {
                return tokens;
            }
            tokens += part.tokens();
        }
        return tokens;
    }

    /** The tokens that running requests hold, each part counted once. */
    long usedTokens() {
        return usedTokens;
    }

    /** The tokens of this prompt that no running request holds. */
    long unusedTokens(List<PromptPart> prompt) {
        long tokens = 0;
        for (PromptPart part : prompt) {
            tokens += usesById.containsKey(part.id()) ? 0 : part.tokens();
        }
        return tokens;
    }

    /** Records that a running request uses these parts, until {@link #release}. */
    void use(List<PromptPart> prompt) {
        for (PromptPart part : prompt) {
            PartUse known = usesById.get(part.id());
            usesById.put(part.id(), new PartUse(part.tokens(), known == null ? 1 : known.requests() + 1));
            usedTokens += known == null ? part.tokens() : 0;
        }
    }

    /** Records that a running request that used these parts has ended. */
    void release(List<PromptPart> prompt) {
        for (PromptPart part : prompt) {
            PartUse known = usesById.remove(part.id());
            if (known != null && known.requests() > 1) {
                usesById.put(part.id(), new PartUse(known.tokens(), known.requests() - 1));
            } else if (known != null) {
                usedTokens -= known.tokens();
            }
        }
    }

    /** Records that a request with this prompt was sent to the engine. */
    void dispatched(List<PromptPart> prompt, long memoryTokens) {
        put(prompt, false);
        trim(memoryTokens);
    }

    /**
     * Evicts the least recently used parts that no running request uses until the others fit into the memory. Linear in the
     * parts of running requests.
     */
    void trimUnused(long memoryTokens) {
        Iterator<Map.Entry<Long, CachedPart>> eldestFirst = partsById.entrySet().iterator();
        while (eldestFirst.hasNext() && (partsById.size() > MAX_PARTS || cachedTokens > memoryTokens)) {
            Map.Entry<Long, CachedPart> eldest = eldestFirst.next();
            if (!usesById.containsKey(eldest.getKey())) {
                cachedTokens -= eldest.getValue().tokens();
                eldestFirst.remove();
                onDropped.accept(eldest.getKey());
            }
        }
    }

    /** Records that the engine has prefilled this prompt, which stays cached at least until the response ends. */
    void prefilled(List<PromptPart> prompt, long memoryTokens) {
        put(prompt, true);
        trim(memoryTokens);
    }

    /** Removes the parts that were not prefilled, because the engine did not run the request. */
    void notPrefilled(List<PromptPart> prompt) {
        for (PromptPart part : prompt) {
            CachedPart cached = partsById.get(part.id());
            if (cached != null && !cached.prefilled()) {
                partsById.remove(part.id());
                cachedTokens -= cached.tokens();
                onDropped.accept(part.id());
            }
        }
    }

    private void put(List<PromptPart> prompt, boolean prefilled) {
        for (PromptPart part : prompt) {
            CachedPart known = partsById.remove(part.id());
            boolean prefilledBefore = known != null && known.prefilled();
            partsById.put(part.id(), new CachedPart(part.tokens(), prefilled || prefilledBefore));
            cachedTokens += part.tokens() - (known == null ? 0 : known.tokens());
            if (known == null) {
                onAdded.accept(part.id());
            }
        }
    }

    private void trim(long memoryTokens) {
        Iterator<Map.Entry<Long, CachedPart>> eldestFirst = partsById.entrySet().iterator();
        while (partsById.size() > MAX_PARTS || (memoryTokens > 0 && cachedTokens > memoryTokens)) {
            Map.Entry<Long, CachedPart> eldest = eldestFirst.next();
            cachedTokens -= eldest.getValue().tokens();
            eldestFirst.remove();
            onDropped.accept(eldest.getKey());
        }
    }

    /** Removes all parts, because the engine has lost its cache or is gone. */
    void clear() {
        partsById.keySet().forEach(onDropped::accept);
        partsById.clear();
        cachedTokens = 0;
    }

    private record PartUse(int tokens, int requests) {}

    private record CachedPart(int tokens, boolean prefilled) {}
}
