package org.marjoramswitch.kernel.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.kernel.model.PromptPart;

class PromptCacheTest {
    private static final long MEMORY_TOKENS = 1_000;
    private static final PromptPart SHARED = PromptPart.of(1, 300);
    private static final PromptPart SESSION = PromptPart.of(2, 200);
    private static final PromptPart OTHER = PromptPart.of(3, 400);
    private static final List<PromptPart> PROMPT = List.of(SHARED, SESSION);

    private final PromptCache cache = PromptCache.create(part -> {}, part -> {});

    @Test
    void aPromptThatWasSentNeedsNoSecondReading() {
        cache.dispatched(PROMPT, MEMORY_TOKENS);
        assertEquals(0, cache.uncachedTokens(PROMPT));
        assertEquals(400, cache.uncachedTokens(List.of(SHARED, OTHER)));
    }

    @Test
    void aPartCountsOnlyBehindPartsThatAreKept() {
        cache.dispatched(List.of(SESSION), MEMORY_TOKENS);
        assertEquals(500, cache.uncachedTokens(PROMPT));
    }

    /** Another engine that came for a part before it was read would find nothing and read all of it. */
    @Test
    void othersFindOnlyWhatWasRead() {
        cache.dispatched(PROMPT, MEMORY_TOKENS);
        assertEquals(0, cache.prefilledTokens(PROMPT));
        cache.prefilled(List.of(SHARED), MEMORY_TOKENS);
        assertEquals(300, cache.prefilledTokens(PROMPT));
        cache.dispatched(PROMPT, MEMORY_TOKENS);
        assertEquals(300, cache.prefilledTokens(PROMPT));
    }

    @Test
    void whatARefusedRequestBroughtIsNotThere() {
        cache.prefilled(List.of(SHARED), MEMORY_TOKENS);
        cache.dispatched(PROMPT, MEMORY_TOKENS);
        cache.notPrefilled(PROMPT);
        assertEquals(200, cache.uncachedTokens(PROMPT));
    }

    /**
     * A part that is looked up for every choice and never used is the first to go. When look-ups counted as uses the book
     * kept other parts than the engine did: 300 thousand tokens were read again in place of 120 thousand.
     */
    @Test
    void lookingUpIsNoUse() {
        cache.prefilled(List.of(SHARED), MEMORY_TOKENS);
        cache.prefilled(List.of(OTHER), MEMORY_TOKENS);
        cache.prefilledTokens(List.of(SHARED));
        cache.uncachedTokens(List.of(SHARED));
        cache.prefilled(List.of(PromptPart.of(4, 350)), MEMORY_TOKENS);
        assertEquals(300, cache.uncachedTokens(List.of(SHARED)));
        assertEquals(0, cache.uncachedTokens(List.of(OTHER)));
    }
}
