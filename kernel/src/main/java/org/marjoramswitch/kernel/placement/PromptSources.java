package org.marjoramswitch.kernel.placement;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.PromptPart;

/**
 * Selects the engine from which others fetch one prompt's cached parts: one with the longest prefilled prefix, in the
 * data centre of the fetching engine if possible, since transfers between data centres take longer.
 *
 * <p>Fetching lets each prompt part be prefilled once in the fleet. Without it, a request waits for the engine that has
 * its prompt cached, or another engine prefills the same tokens again, which amounts to a tenth of all prefill work on
 * a day of overload.
 *
 * <p>Parts are fetched only between engines of the same software version, since what one version writes may not be
 * readable for another.
 *
 * <p>An ejected engine is not a source: after a failed fetch, the target has to prefill the prompt itself. An engine in an
 * evacuated data centre is not one either.
 *
 * <p>Cost: linear in the holders of the prompt's last cached part, until one is found that has prefilled all parts
 * before it. For a part that all engines have cached this is the first holder; the holders of a session's part are few.
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

    static PromptSources of(List<PromptPart> prompt, PromptPartIndex partIndex, long nowMs) {
        Source best = null;
        List<TargetLoad> bestHolders = List.of();
        long tokensUpTo = prompt.stream().mapToLong(PromptPart::tokens).sum();
        for (int i = prompt.size() - 1; i >= 0; i--) {
            List<TargetLoad> holders = partIndex.of(prompt.get(i));
            for (TargetLoad holder : holders) {
                Source source = source(prompt, holder, nowMs);
                if (source != null && (best == null || source.tokens() > best.tokens())) {
                    best = source;
                    bestHolders = holders;
                }
                if (best != null && best.tokens() >= tokensUpTo) {
                    return new PromptSources(bestHolders, best, nowMs);
                }
            }
            tokensUpTo -= prompt.get(i).tokens();
            if (best != null && best.tokens() >= tokensUpTo) {
                break;
            }
        }
        return new PromptSources(bestHolders, best, nowMs);
    }

    /** The longest prefix, in tokens, that any source has prefilled. */
    long maxTokens() {
        return best == null ? 0 : best.tokens();
    }

    /** The source for this target; null if no other engine has any of the prompt cached. */
    @Nullable
    Source of(TargetLoad target, List<PromptPart> prompt) {
        if (best == null) {
            return null;
        }
        DataCentreId dataCentre = target.settings().dataCentre();
        Source found = isSameVersion(best.target(), target) ? best : null;
        if (found != null && found.target().settings().dataCentre().equals(dataCentre)) {
            return found.target() == target ? null : found;
        }
        for (TargetLoad holder : holders) {
            boolean sameDataCentre = holder.settings().dataCentre().equals(dataCentre);
            boolean preferred = isSameVersion(holder, target) && (sameDataCentre || found == null);
            Source source = preferred ? source(prompt, holder, nowMs) : null;
            if (source == null || source.tokens() != best.tokens()) {
                continue;
            }
            if (sameDataCentre) {
                return holder == target ? null : source;
            }
            found = source;
        }
        return found == null || found.target() == target ? null : found;
    }

    private static boolean isSameVersion(TargetLoad one, TargetLoad other) {
        return one.settings().softwareVersion().equals(other.settings().softwareVersion());
    }

    private static @Nullable Source source(List<PromptPart> prompt, TargetLoad holder, long nowMs) {
        if (!holder.isUsable() || !holder.settings().memory().fetches() || holder.isEjected(nowMs)) {
            return null;
        }
        long tokens = holder.prefilledTokens(prompt);
        return tokens == 0 ? null : new Source(holder, tokens);
    }

    /** @param tokens length of the prompt prefix that the target has prefilled and cached */
    record Source(TargetLoad target, long tokens) {}
}
