package org.marjoramswitch.kernel.placement;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.PromptPart;

/**
 * The engines that others fetch one prompt's kept parts from: of those that have read most of it, one in each data centre
 * where there is one, since a transfer between data centres takes longer.
 *
 * <p>A prompt part is thereby read once in the fleet. Without it a request goes to the engine that keeps its prompt and waits
 * there, or makes another engine read again what the first one has: on a day of overload that was a tenth of all reading.
 *
 * <p>An engine that is being avoided is no source: a fetch that finds nobody costs the reading after all.
 *
 * <p>Cost: linear in the targets, each with a look-up for each part of the prompt.
 */
final class PromptSources {
    static final PromptSources NONE = new PromptSources(null, Map.of());

    private final @Nullable Source best;
    private final Map<DataCentreId, Source> bestByDataCentre;

    private PromptSources(@Nullable Source best, Map<DataCentreId, Source> bestByDataCentre) {
        this.best = best;
        this.bestByDataCentre = bestByDataCentre;
    }

    static PromptSources of(List<PromptPart> prompt, Collection<TargetLoad> targets, long nowMs) {
        Source best = null;
        Map<DataCentreId, Source> bestByDataCentre = new TreeMap<>();
        for (TargetLoad target : targets) {
            if (!target.settings().memory().fetches() || target.isEjected(nowMs)) {
                continue;
            }
            Source source = new Source(target, target.readTokens(prompt));
            best = more(best, source);
            bestByDataCentre.merge(target.settings().dataCentre(), source, PromptSources::more);
        }
        return new PromptSources(best, bestByDataCentre);
    }

    /** Where this target would fetch from, null where nobody else keeps any of the prompt. */
    @Nullable
    Source of(TargetLoad target) {
        Source near = bestByDataCentre.get(target.settings().dataCentre());
        Source source = near != null && best != null && near.tokens() == best.tokens() ? near : best;
        return source == null || source.target() == target || source.tokens() == 0 ? null : source;
    }

    private static Source more(@Nullable Source first, Source second) {
        return first == null || second.tokens() > first.tokens() ? second : first;
    }

    /** @param tokens of the prompt that the target has read and keeps */
    record Source(TargetLoad target, long tokens) {}
}
