package org.marjoramswitch.kernel.placement;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.PromptPart;

/**
 * The engines that others fetch one prompt's kept parts from: of those that have read most of it, one in the data centre of
 * the engine that fetches where there is one, since a transfer between data centres takes longer.
 *
 * <p>A prompt part is thereby read once in the fleet. Without it a request goes to the engine that keeps its prompt and waits
 * there, or makes another engine read again what the first one has: on a day of overload that was a tenth of all reading.
 *
 * <p>An engine that is being avoided is no source: a fetch that finds nobody costs the reading after all.
 *
 * <p>Cost: the holders of the prompt's last kept part, until one is found that has read all before it; of a part that all
 * engines keep that is the first one, of a session's there are few.
 */
final class PromptSources {
    static final PromptSources NONE = new PromptSources(List.of(), null, 0);

    private final List<TargetLoad> holders;
    private final @Nullable Source best;
    private final long nowMs;

    private PromptSources(List<TargetLoad> holders, @Nullable Source best, long nowMs) {
        this.holders = holders;
        this.best = best;
        this.nowMs = nowMs;
    }

    static PromptSources of(List<PromptPart> prompt, PartHolders parts, long nowMs) {
        Source best = null;
        List<TargetLoad> holdersOfBest = List.of();
        long readUpTo = prompt.stream().mapToLong(PromptPart::tokens).sum();
        for (int i = prompt.size() - 1; i >= 0; i--) {
            List<TargetLoad> holders = parts.of(prompt.get(i));
            for (TargetLoad holder : holders) {
                Source source = source(prompt, holder, nowMs);
                if (source != null && (best == null || source.tokens() > best.tokens())) {
                    best = source;
                    holdersOfBest = holders;
                }
                if (best != null && best.tokens() >= readUpTo) {
                    return new PromptSources(holdersOfBest, best, nowMs);
                }
            }
            readUpTo -= prompt.get(i).tokens();
            if (best != null && best.tokens() >= readUpTo) {
                break;
            }
        }
        return new PromptSources(holdersOfBest, best, nowMs);
    }

    /** The most of the prompt that any engine has read and can be asked for. */
    long mostTokens() {
        return best == null ? 0 : best.tokens();
    }

    /** Where this target would fetch from, null where nobody else keeps any of the prompt. */
    @Nullable
    Source of(TargetLoad target, List<PromptPart> prompt) {
        if (best == null) {
            return null;
        }
        DataCentreId dataCentre = target.settings().dataCentre();
        if (best.target().settings().dataCentre().equals(dataCentre)) {
            return best.target() == target ? null : best;
        }
        for (TargetLoad holder : holders) {
            boolean near = holder.settings().dataCentre().equals(dataCentre);
            Source source = near ? source(prompt, holder, nowMs) : null;
            if (source != null && source.tokens() == best.tokens()) {
                return holder == target ? null : source;
            }
        }
        return best;
    }

    private static @Nullable Source source(List<PromptPart> prompt, TargetLoad holder, long nowMs) {
        if (!holder.settings().memory().fetches() || holder.isEjected(nowMs)) {
            return null;
        }
        long tokens = holder.readTokens(prompt);
        return tokens == 0 ? null : new Source(holder, tokens);
    }

    /** @param tokens of the prompt that the target has read and keeps */
    record Source(TargetLoad target, long tokens) {}
}
