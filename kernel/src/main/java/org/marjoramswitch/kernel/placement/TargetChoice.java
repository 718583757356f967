package org.marjoramswitch.kernel.placement;

import java.util.Collection;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.misc.Rendezvous;
import org.marjoramswitch.kernel.model.PromptPart;
import org.marjoramswitch.kernel.model.TargetId;

/**
 * Chooses the target of one request among those of a cell, by the time that each would cost.
 *
 * <p>For a model engine the cost is the wait until it can take the request, the reading of what it does not keep of the
 * prompt, counted {@value #READING_WEIGHT} times since it also delays what runs there, and a little for its load. For a
 * plain service it is the mean time of its requests, longer the fuller it is: a target that has become slow is avoided
 * without anybody declaring it so.
 *
 * <p>The target of the least cost may not be free. It is waited for as long as the request can still be in time there;
 * otherwise the best of the free ones is taken. So the requests of one session stay together until that would make one
 * of them late, and a session that one engine cannot carry spreads by itself: once two engines have read it, both are
 * candidates. In a full pool a request is not taken to an engine that would have to read a long session for it, though it
 * gets late by that. Measured with eight engines at one and a half times what they can do: 0.6 instead of 2.3 million
 * tokens read again in 20 s, and a fifth more worth served in time.
 *
 * <p>Where engines fetch kept parts from one another, what another one has read counts as a small part of a reading, see
 * {@link PromptSources}.
 *
 * <p>A session that no engine keeps goes to the one that rendezvous hashing names, which is the same for every arbiter:
 * a new arbiter knows nothing of what engines keep, and would otherwise scatter all sessions anew.
 *
 * <p>Cost: linear in the targets, each with a look-up for each part of the prompt.
 */
final class TargetChoice {
    /**
     * Reading what another engine keeps takes an engine's time and memory from everybody, while a wait that still ends in
     * time costs its caller nothing. Of the prompt tokens read again, nearly all were kept by another engine then. With a
     * weight of 2 that was 343, 493 and 859 thousand tokens in 20 s at 0.7, 1 and 1.3 times what eight engines can do,
     * with 8 it is 161, 211 and 466 thousand, at the same worth; with 12 little changes any more.
     */
    private static final double READING_WEIGHT = 8;
    /** The difference between an empty and a full engine in the time of a request, by order of magnitude. */
    private static final double LOAD_MS = 30;
    /** An engine always has this much to read, so that it is not idle while the next request is on its way. */
    static final double DEPTH_MS = 25;
    /** Predictions are off by about this factor; a wait that leaves less room is not risked. */
    private static final double PREDICTION_MARGIN = 1.25;
    /** Up to this load a target has time to spare. */
    static final double SPARE_LOAD = 0.75;
    /** What a request may cost more at a full target than at its best one, about a quarter of its own time. */
    private static final double DEAR_MS = 15;
    /** Of an unread session's reading time, what makes its home better than other engines. */
    private static final double HOME_SHARE = 0.5;

    /**
     * Of a reading, what a fetch of the same tokens counts at least: transfers take links, which operators pay for. What
     * they pay for the two is as 1 to 12; the time of a transfer is a sixteenth of the reading's or less.
     */
    private static final double FETCH_SHARE = 1.0 / 12;
    /**
     * Of an engine's time, what a fetch has to save. Its setting-up of 1.7 to 5 ms delays the one request; what it saves is
     * the time of all that the engine works on.
     */
    private static final double LEAST_SAVED_MS = 0.4;

    private final PlacementPolicy policy;
    private final FirstByteModel model;
    private final double meanServiceMs;
    private final long nowMs;
    /** With most targets ejected the fault is elsewhere, and leaving out the few that are left would end the service. */
    private final boolean ignoreHealth;

    private TargetChoice(
            PlacementPolicy policy, FirstByteModel model, double meanServiceMs, boolean ignoreHealth, long nowMs) {
        this.policy = policy;
        this.model = model;
        this.meanServiceMs = meanServiceMs;
        this.ignoreHealth = ignoreHealth;
        this.nowMs = nowMs;
    }

    static TargetChoice at(
            PlacementPolicy policy,
            FirstByteModel model,
            double meanServiceMs,
            Collection<TargetLoad> targets,
            long nowMs) {
        long ejected =
                targets.stream().filter(target -> target.isEjected(nowMs)).count();
        return new TargetChoice(policy, model, meanServiceMs, 2 * ejected > targets.size(), nowMs);
    }

    /** The target to start the request at now, null where it has to wait. */
    @Nullable
    Chosen inTime(WaitingRequest request, Collection<TargetLoad> targets) {
        TargetLoad home = home(request.prompt(), targets);
        PromptSources sources = sources(request, targets);
        Candidate best = null;
        Candidate bestFree = null;
        for (TargetLoad target : candidates(request, targets)) {
            Candidate candidate = candidate(request, target, sources, home);
            best = cheaper(best, candidate);
            bestFree = candidate.waitMs() == 0 ? cheaper(bestFree, candidate) : bestFree;
        }
        if (best == null || bestFree == null) {
            return null;
        }
        if (best.waitMs() == 0) {
            return best.chosen();
        }
        double firstByteMs = PREDICTION_MARGIN
                * (best.waitMs() + model.expectedMs(best.chosen().readingTokens()));
        boolean canWait = nowMs + firstByteMs <= request.objectiveAtMs();
        return canWait || isTooDear(bestFree, best) ? null : bestFree.chosen();
    }

    /**
     * Whether a free target would cost the others more than the request is worth there: in a full pool the time that it
     * takes to read a prompt once more is taken from requests whose prompts are kept where they go.
     */
    private boolean isTooDear(Candidate free, Candidate best) {
        return policy.has(Mechanism.DEAR_TARGETS)
                && free.chosen().target().load() > SPARE_LOAD
                && free.workMs() - best.workMs() > DEAR_MS;
    }

    /** The target to start a late request at now: only one that those in time do not need, and that keeps its prompt. */
    @Nullable
    Chosen late(WaitingRequest request, Collection<TargetLoad> targets) {
        TargetLoad home = home(request.prompt(), targets);
        PromptSources sources = sources(request, targets);
        Candidate best = null;
        Candidate bestSpare = null;
        for (TargetLoad target : candidates(request, targets)) {
            Candidate candidate = candidate(request, target, sources, home);
            boolean spare = candidate.waitMs() == 0 && target.load() <= SPARE_LOAD;
            best = best == null || candidate.workMs() < best.workMs() ? candidate : best;
            bestSpare = spare ? cheaper(bestSpare, candidate) : bestSpare;
        }
        if (best == null || bestSpare == null || bestSpare.workMs() - best.workMs() > DEAR_MS) {
            return null;
        }
        return bestSpare.chosen();
    }

    private static Collection<TargetLoad> candidates(WaitingRequest request, Collection<TargetLoad> targets) {
        if (request.excluded().isEmpty()) {
            return targets;
        }
        List<TargetLoad> left = targets.stream()
                .filter(target -> !request.excluded().contains(target.settings().id()))
                .toList();
        // One that failed the request may serve it now; with no other left it is better than nothing.
        return left.isEmpty() ? targets : left;
    }

    private Candidate candidate(
            WaitingRequest request, TargetLoad target, PromptSources sources, @Nullable TargetLoad home) {
        if (request.prompt().isEmpty()) {
            double serviceMs = target.meanServiceMs(meanServiceMs, nowMs);
            return new Candidate(
                    Chosen.reading(target, 0), slotWaitMs(request, target), serviceMs * (1 + target.load()));
        }
        Chosen chosen = chosen(request, target, sources);
        double queuedMs = target.unreadTokens(nowMs, model) * model.msPerToken();
        double waitMs = Math.max(0, queuedMs - DEPTH_MS) + slotWaitMs(request, target);
        double readingMs = chosen.readingTokens() * model.msPerToken();
        double strangeMs = home == null || home == target ? 0 : HOME_SHARE * readingMs;
        double weight = policy.has(Mechanism.READING_WEIGHT) ? READING_WEIGHT : 1;
        double workMs = weight * readingMs + strangeMs + LOAD_MS * target.load();
        return new Candidate(chosen, waitMs, workMs);
    }

    private PromptSources sources(WaitingRequest request, Collection<TargetLoad> targets) {
        boolean none = request.prompt().isEmpty() || !policy.has(Mechanism.FETCHING);
        return none ? PromptSources.NONE : PromptSources.of(request.prompt(), targets, nowMs);
    }

    /** What the target would read of the prompt, and what it would fetch where that pays. */
    private Chosen chosen(WaitingRequest request, TargetLoad target, PromptSources sources) {
        long uncachedTokens = target.uncachedTokens(request.prompt());
        PromptSources.Source source = sources.of(target);
        if (source == null) {
            return Chosen.reading(target, uncachedTokens);
        }
        long fetchedTokens = source.tokens() - (request.promptTokens() - uncachedTokens);
        double share = Math.max(FETCH_SHARE, target.settings().memory().fetchMsPerToken() / model.msPerToken());
        double savedMs = (1 - share) * fetchedTokens * model.msPerToken();
        if (savedMs < LEAST_SAVED_MS) {
            return Chosen.reading(target, uncachedTokens);
        }
        long readingTokens = Math.round(uncachedTokens - (1 - share) * fetchedTokens);
        TargetId from = source.target().settings().id();
        return new Chosen(target, uncachedTokens, readingTokens, fetchedTokens, from);
    }

    private double slotWaitMs(WaitingRequest request, TargetLoad target) {
        return target.hasRoom(request.memoryTokens(), ignoreHealth, nowMs) ? 0 : Math.max(1, target.slotWaitMs());
    }

    /** The engine for a session that no engine keeps, null where one does. */
    private @Nullable TargetLoad home(List<PromptPart> prompt, Collection<TargetLoad> targets) {
        if (prompt.size() < 2 || !policy.has(Mechanism.SESSION_HOME)) {
            return null;
        }
        List<PromptPart> session = prompt.subList(0, prompt.size() - 1);
        if (targets.stream().anyMatch(target -> target.uncachedTokens(session) == 0)) {
            return null;
        }
        String key = Long.toString(session.get(session.size() - 1).id());
        TargetLoad home = null;
        long most = Long.MIN_VALUE;
        for (TargetLoad target : targets) {
            long weight = Rendezvous.weight(key, target.settings().id().name());
            if (home == null || weight > most) {
                home = target;
                most = weight;
            }
        }
        return home;
    }

    private static Candidate cheaper(@Nullable Candidate best, Candidate candidate) {
        return best == null || candidate.costMs() < best.costMs() ? candidate : best;
    }

    /**
     * A target for a request, and what it does before its first byte.
     *
     * @param uncachedTokens of the prompt, what the target does not keep
     * @param readingTokens what that takes it, a fetched token counted as a part of one
     * @param fetchFrom the target that keeps more of the prompt, null where nothing is fetched
     */
    record Chosen(
            TargetLoad target,
            long uncachedTokens,
            long readingTokens,
            long fetchedTokens,
            @Nullable TargetId fetchFrom) {
        static Chosen reading(TargetLoad target, long uncachedTokens) {
            return new Chosen(target, uncachedTokens, uncachedTokens, 0, null);
        }
    }

    /**
     * One target for one request.
     *
     * @param waitMs until the target can take the request, 0 where it can now
     * @param workMs what the request costs there from then on
     */
    private record Candidate(Chosen chosen, double waitMs, double workMs) {
        double costMs() {
            return waitMs + workMs;
        }
    }
}
