package org.marjoramswitch.kernel.placement;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.marjoramswitch.kernel.model.PromptPart;

/**
 * The engines of a cell that keep a prompt part, for each part: the same that the engines' {@link PromptCache}s hold, the
 * other way round. With it the choice for a request looks at the few engines that keep its session and not at all of them.
 *
 * <p>Cost: constant for a look-up; linear in the holders of a part where one of them drops it.
 */
final class PartHolders {
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

    /** What the engine that keeps most of the prompt would have to read; all of it where none keeps any. */
    long leastUncachedTokens(List<PromptPart> prompt) {
        long least = prompt.stream().mapToLong(PromptPart::tokens).sum();
        long readBehind = 0;
        for (int i = prompt.size() - 1; i >= 0 && readBehind < least; i--) {
            for (TargetLoad holder : of(prompt.get(i))) {
                least = Math.min(least, holder.uncachedTokens(prompt));
                if (least <= readBehind) {
                    break;
                }
            }
            // No holder of an earlier part alone can have less to read than what comes behind that part.
            readBehind += prompt.get(i).tokens();
        }
        return least;
    }
}
