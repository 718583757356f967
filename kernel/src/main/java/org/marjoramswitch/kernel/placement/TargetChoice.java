package org.marjoramswitch.kernel.placement;

import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
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
 * <p>Not all targets are looked at. What a target costs whatever the prompt is the same for every request, so the targets
 * stand in that order ({@link TargetOrder}). Those that keep more of the prompt than most do are few and found by
 * {@link PartHolders}; they are looked at first. All others have at least the rest of the prompt to read, so that from
 * the place in the order on where that costs more than the best target found, none can be better. The choice is the one
 * that looking at all of them would make.
 *
 * <p>An object holds for the few milliseconds of one pass: the order is that of its beginning, put right by
 * {@link #started}. A target that has gained room meanwhile is found by the next pass, where those who wait longest are
 * asked first.
 *
 * <p>Cost: the begin of a pass is linear in the targets. A choice looks at the engines that keep the session and at the next
 * few in the order; under overload, where nearly all are full, it steps through the order without looking closer.
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

    /** A prompt part with more holders than that is taken for one that any engine may keep. */
    private static final int FEW_HOLDERS = 8;

    private final PlacementPolicy policy;
    private final FirstByteModel model;
    private final double meanServiceMs;
    private final TargetPool pool;
    private final long nowMs;
    private final int soundTargets;
    /** With most targets ejected the fault is elsewhere, and leaving out the few that are left would end the service. */
    private final boolean ignoreHealth;

    private TargetChoice(
            PlacementPolicy policy, FirstByteModel model, double meanServiceMs, TargetPool pool, long nowMs) {
        this.policy = policy;
        this.model = model;
        this.meanServiceMs = meanServiceMs;
        this.pool = pool;
        this.nowMs = nowMs;
        int ejected = (int)
                pool.all().stream().filter(target -> target.isEjected(nowMs)).count();
        this.soundTargets = pool.size() - ejected;
        this.ignoreHealth = 2 * ejected > pool.size();
    }

    /** The targets as they are now. */
    static TargetChoice at(
            PlacementPolicy policy, FirstByteModel model, double meanServiceMs, TargetPool pool, long nowMs) {
        TargetChoice choice = new TargetChoice(policy, model, meanServiceMs, pool, nowMs);
        pool.order().update(choice::waitMs, TargetChoice::loadMs);
        return choice;
    }

    long atMs() {
        return nowMs;
    }

    /** How many targets are not left out for their failures. */
    int soundTargets() {
        return soundTargets;
    }

    /** Whether any target takes a request now. */
    boolean hasOpen() {
        return pool.order().hasOpen();
    }

    /** A request was started at a target; the next choice sees it as it is from then on. */
    void started(TargetLoad target) {
        pool.order().update(target, this::waitMs, TargetChoice::loadMs);
    }

    /** The target to start the request at now, null where it has to wait. */
    @Nullable
    Chosen inTime(WaitingRequest request) {
        if (!hasOpen()) {
            return null;
        }
        return decide(request, request.prompt().isEmpty() ? bestOfAll(request) : bestOfEngines(request));
    }

    /** As {@link #inTime}, by looking at every target; what the other is held against. */
    @Nullable
    Chosen inTimeOfAll(WaitingRequest request) {
        return decide(request, bestOfAll(request));
    }

    private @Nullable Chosen decide(WaitingRequest request, Best found) {
        Candidate best = found.best;
        Candidate bestFree = found.bestFree;
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

    private Best bestOfAll(WaitingRequest request) {
        Best found = new Best();
        Prospect prospect = prospect(request);
        for (TargetLoad target : candidates(request)) {
            found.add(candidate(request, target, prospect));
        }
        return found;
    }

    /** The same as looking at all engines, without those that cannot be better than what was found. */
    private Best bestOfEngines(WaitingRequest request) {
        Best found = new Best();
        Prospect prospect = prospect(request);
        Predicate<TargetLoad> allowed = allowed(request);
        long restTokens = addHolders(request, prospect, allowed, found);
        TargetLoad home = prospect.home();
        if (home != null && allowed.test(home)) {
            found.add(candidate(request, home, prospect));
        }
        addInOrder(request, prospect, allowed, leastWorkMs(request, restTokens, prospect), found);
        return found;
    }

    /**
     * Looks at the holders of the prompt's parts, the last part first, until one is reached that any engine may keep.
     *
     * @return what all others have to read at least: what comes behind that part
     */
    private long addHolders(WaitingRequest request, Prospect prospect, Predicate<TargetLoad> allowed, Best found) {
        long restTokens = 0;
        for (int part = request.prompt().size() - 1; part >= 0; part--) {
            List<TargetLoad> holders = pool.holders().of(request.prompt().get(part));
            if (holders.size() > FEW_HOLDERS) {
                return restTokens;
            }
            holders.stream().filter(allowed).forEach(holder -> found.add(candidate(request, holder, prospect)));
            restTokens += request.prompt().get(part).tokens();
        }
        return restTokens;
    }

    /** Looks at the targets in their order until none that is left can be better. */
    private void addInOrder(
            WaitingRequest request, Prospect prospect, Predicate<TargetLoad> allowed, double leastWorkMs, Best found) {
        for (TargetOrder.Standing standing : pool.order().standings()) {
            double leastCostMs = standing.costMs() + leastWorkMs;
            if (!found.mayBeBeaten(leastCostMs, true)) {
                return;
            }
            if (found.mayBeBeaten(leastCostMs, standing.isOpen()) && allowed.test(standing.target())) {
                found.add(candidate(request, standing.target(), prospect));
            }
        }
    }

    /** What a target costs beside wait and load that has {@code unreadTokens} of the prompt to read or to fetch, at least. */
    private double leastWorkMs(WaitingRequest request, long unreadTokens, Prospect prospect) {
        long keptTokens = request.promptTokens() - unreadTokens;
        long fetchableTokens = Math.max(0, prospect.sources().mostTokens() - keptTokens);
        double readingMs = (unreadTokens - (1 - FETCH_SHARE) * fetchableTokens) * model.msPerToken();
        double strangeShare = prospect.home() == null ? 0 : HOME_SHARE;
        // A fetch that saves less than the least is not made, so that keeping a little less can cost that much less.
        return (readingWeight() + strangeShare) * Math.max(0, readingMs - LEAST_SAVED_MS);
    }

    /** One that failed the request may serve it now; with no other left it is better than nothing. */
    private Predicate<TargetLoad> allowed(WaitingRequest request) {
        Set<TargetId> excluded = request.excluded();
        Predicate<TargetLoad> left =
                target -> !excluded.contains(target.settings().id());
        boolean anyLeft = excluded.size() < pool.size() || pool.all().stream().anyMatch(left);
        return anyLeft ? left : target -> true;
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
    Chosen late(WaitingRequest request) {
        if (!hasOpen()) {
            return null;
        }
        Prospect prospect = prospect(request);
        Candidate best = null;
        Candidate bestSpare = null;
        for (TargetLoad target : candidates(request)) {
            Candidate candidate = candidate(request, target, prospect);
            boolean spare = candidate.waitMs() == 0 && target.load() <= SPARE_LOAD;
            best = best == null || candidate.workMs() < best.workMs() ? candidate : best;
            bestSpare = spare ? cheaper(bestSpare, candidate) : bestSpare;
        }
        if (best == null || bestSpare == null || bestSpare.workMs() - best.workMs() > DEAR_MS) {
            return null;
        }
        return bestSpare.chosen();
    }

    private List<TargetLoad> candidates(WaitingRequest request) {
        return pool.all().stream().filter(allowed(request)).toList();
    }

    private Candidate candidate(WaitingRequest request, TargetLoad target, Prospect prospect) {
        double waitMs = queueMs(target) + slotWaitMs(target, request.memoryTokens());
        if (request.prompt().isEmpty()) {
            double serviceMs = target.meanServiceMs(meanServiceMs, nowMs);
            return new Candidate(Chosen.reading(target, 0), waitMs, serviceMs * (1 + target.load()));
        }
        Chosen chosen = chosen(request, target, prospect.sources());
        double readingMs = chosen.readingTokens() * model.msPerToken();
        double strangeMs = prospect.isStrange(target) ? HOME_SHARE * readingMs : 0;
        double workMs = readingWeight() * readingMs + strangeMs + loadMs(target);
        return new Candidate(chosen, waitMs, workMs);
    }

    private double readingWeight() {
        return policy.has(Mechanism.READING_WEIGHT) ? READING_WEIGHT : 1;
    }

    private static double loadMs(TargetLoad target) {
        return LOAD_MS * target.load();
    }

    /** Until a target takes a request of no size. */
    private double waitMs(TargetLoad target) {
        return queueMs(target) + slotWaitMs(target, 0);
    }

    private double queueMs(TargetLoad target) {
        return Math.max(0, target.unreadTokens(nowMs, model) * model.msPerToken() - DEPTH_MS);
    }

    private double slotWaitMs(TargetLoad target, long memoryTokens) {
        return target.hasRoom(memoryTokens, ignoreHealth, nowMs) ? 0 : Math.max(1, target.slotWaitMs());
    }

    private Prospect prospect(WaitingRequest request) {
        boolean none = request.prompt().isEmpty() || !policy.has(Mechanism.FETCHING);
        PromptSources sources = none ? PromptSources.NONE : PromptSources.of(request.prompt(), pool.holders(), nowMs);
        return new Prospect(home(request.prompt()), sources);
    }

    /** What the target would read of the prompt, and what it would fetch where that pays. */
    private Chosen chosen(WaitingRequest request, TargetLoad target, PromptSources sources) {
        long uncachedTokens = target.uncachedTokens(request.prompt());
        PromptSources.Source source = sources.of(target, request.prompt());
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

    /** The engine for a session that no engine keeps, null where one does. */
    private @Nullable TargetLoad home(List<PromptPart> prompt) {
        if (prompt.size() < 2 || !policy.has(Mechanism.SESSION_HOME)) {
            return null;
        }
        List<PromptPart> session = prompt.subList(0, prompt.size() - 1);
        if (pool.holders().leastUncachedTokens(session) == 0) {
            return null;
        }
        String key = Long.toString(session.get(session.size() - 1).id());
        TargetLoad home = null;
        long most = Long.MIN_VALUE;
        for (TargetLoad target : pool.all()) {
            long weight = Rendezvous.weight(key, target.settings().id().name());
            if (home == null || weight > most) {
                home = target;
                most = weight;
            }
        }
        return home;
    }

    /**
     * What is the same for all targets of one request.
     *
     * @param home the engine for its session, null where one keeps it
     */
    private record Prospect(@Nullable TargetLoad home, PromptSources sources) {
        boolean isStrange(TargetLoad target) {
            return home != null && home != target;
        }
    }

    /** The best target found so far, and the best of those that are free. */
    private static final class Best {
        private @Nullable Candidate best;
        private @Nullable Candidate bestFree;

        void add(Candidate candidate) {
            best = cheaper(best, candidate);
            bestFree = candidate.waitMs() == 0 ? cheaper(bestFree, candidate) : bestFree;
        }

        /** Whether a target of this cost would be better than one of the two. */
        boolean mayBeBeaten(double costMs, boolean free) {
            return best == null || costMs < best.costMs() || (free && (bestFree == null || costMs < bestFree.costMs()));
        }
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
