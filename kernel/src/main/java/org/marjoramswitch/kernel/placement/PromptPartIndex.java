package org.marjoramswitch.kernel.placement;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.marjoramswitch.kernel.model.PromptPart;

/**
 * Maps each prompt part to the engines of a cell that have it cached: the inverse of the engines' {@link PromptCache}s.
 * With it, the choice for a request examines only the few engines that have its session cached.
 *
 * <p>Cost: constant time for a lookup; removal is linear in the holders of the part.
 */
final class PromptPartIndex {
    private final Map<Long, List<TargetLoad>> byPart = new HashMap<>();

    void add(long part, TargetLoad holder) {
        byPart.computeIfAbsent(part, missing -> new ArrayList<>(1)).add(holder);
    }

    void remove(long part, TargetLoad holder) {
        List<TargetLoad> holders = byPart.get(part);
        if (holders == null) {
            return;
        }
        holders.remove(holder);
        if (holders.isEmpty()) {
            byPart.remove(part);
        }
    }

    List<TargetLoad> of(PromptPart part) {
        return Collections.unmodifiableList(byPart.getOrDefault(part.id(), List.of()));
    }

    /**
     * The prompt tokens that the engine with most of the prompt cached would have to prefill; all tokens if no engine
     * has any.
     */
    long minUncachedTokens(List<PromptPart> prompt) {
        long min = prompt.stream().mapToLong(PromptPart::tokens).sum();
        long tokensBehind = 0;
        for (int i = prompt.size() - 1; i >= 0 && tokensBehind < min; i--) {
            for (TargetLoad holder : of(prompt.get(i))) {
                min = Math.min(min, holder.uncachedTokens(prompt));
                if (min <= tokensBehind) {
                    break;
                }
            }
            // An engine that holds only earlier parts has at least the tokens behind them to prefill.
            tokensBehind += prompt.get(i).tokens();
        }
        return min;
    }
}
