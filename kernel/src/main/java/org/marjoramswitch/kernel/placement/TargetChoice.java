package org.marjoramswitch.kernel.placement;

import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.misc.Rendezvous;
import org.marjoramswitch.kernel.model.PromptPart;
import org.marjoramswitch.kernel.model.TargetId;

/**
 * Selects the target of one request among those of a cell by estimated cost in milliseconds.
 *
 * <p>For a model engine the cost is the wait until it can take the request, the prefill of the uncached part of the
 * prompt, weighted by {@value #PREFILL_WEIGHT} since it also delays running requests, and a small term for its load.
 * For a plain service it is the mean service time, increased by its load: a target that has become slow is avoided
 * without being marked as such.
 *
 * <p>If the cheapest target is not free, the request waits for it as long as it can still meet its objective there;
 * otherwise the cheapest free target is used. Thus the requests of a session, which have all prompt parts but the last
 * in common, stay together until one of them would become late. A session that exceeds the capacity of one engine
 * spreads: once two engines have it cached, both are candidates. In a full pool a request is not sent to an engine that
 * would have to prefill a long session for it, even if the request becomes late: with eight engines at 1.5 times their
 * capacity, this reduces repeated prefill from 2.3 to 0.6 million tokens in 20 s and raises the total value of the
 * requests served in time by a fifth.
 *
 * <p>Where engines can fetch cached parts from one another, tokens that another engine has prefilled count as a small
 * fraction of a prefill, see {@link PromptSources}.
 *
 * <p>A session that no engine has cached goes to the engine selected by rendezvous hashing, which is the same for every
 * arbiter: a new arbiter does not know the engines' caches and would otherwise scatter all sessions again.
 *
 * <p>Correctness: not every target is examined. The part of the cost that does not depend on the prompt is the same for
 * every request, so targets are sorted by it ({@link TargetOrder}). The few targets that have more of the prompt cached
 * than most are found with {@link PromptPartIndex} and examined first. All others have at least the remaining prompt to
 * prefill, so the search ends at the position in the order where that costs more than the best target found. The result
 * equals that of an exhaustive search.
 *
 * <p>An instance is valid for the few milliseconds of one pass: the order is that of the beginning of the pass, updated
 * by {@link #started}. A target that gains capacity meanwhile is found by the next pass, in which the requests that
 * have waited longest come first.
 *
 * <p>Cost: creating an instance is linear in the targets. A choice examines the engines that have the session cached
 * and the next few in the order; under overload, when nearly all targets are full, it iterates over the order without
 * computing further costs.
 */
final class TargetChoice {
    /**
     * Weight of prefill time. Prefilling tokens that another engine has cached takes engine time and memory from all
     * requests, whereas a wait that still meets the objective costs the caller nothing. Nearly all tokens prefilled
     * again are cached at another engine at that time. With a weight of 2 they are 343, 493 and 859 thousand in 20 s at
     * 0.7, 1 and 1.3 times the capacity of eight engines, with 8 they are 161, 211 and 466 thousand, at the same total
     * value of the requests served; a weight of 12 changes little further.
     */
    private static final double PREFILL_WEIGHT = 8;
    /**
     * Weight of the time that a slow target needs longer for the prefill, or a fast one less. With 1, requests wait for
     * fast targets that have their session cached while slow ones that have it too are free, until they must go elsewhere:
     * more tokens are prefilled again, and above capacity the value is lower (docs/design/target-speeds.md).
     */
    private static final double SPEED_WEIGHT = 0.3;
    /** Difference in service time between an empty and a full engine, by order of magnitude. */
    private static final double LOAD_MS = 30;
    /** Prefill work kept queued at an engine, so that it does not run idle while the next request is in transit. */
    static final double MIN_PREFILL_QUEUE_MS = 25;
    /** Typical error of the predicted time to first byte, as a factor; a wait with less slack is not risked. */
    private static final double WAIT_SAFETY_FACTOR = 1.25;
    /** Maximum load at which a target has spare capacity. */
    static final double SPARE_LOAD = 0.75;
    /**
     * Maximum additional cost at a full target compared to the best one: about a quarter of a request's service time.
     */
    private static final double MAX_EXTRA_COST_MS = 15;
    /** Share of an uncached session's prefill time that is added to the cost of engines other than its home. */
    private static final double HOME_PREFERENCE = 0.5;

    /**
     * Minimum cost of a fetched token relative to a prefilled one. Transfers use links that operators pay for: the
     * ratio of the two prices is 1 to 12. The transfer time is at most a sixteenth of the prefill time.
     */
    private static final double MIN_FETCH_COST_SHARE = 1.0 / 12;
    /**
     * Minimum engine time that a fetch must save. The setup of a fetch, 1.7 to 5 ms, delays only the one request,
     * whereas the time saved benefits all requests on the engine.
     */
    private static final double MIN_SAVED_MS = 0.4;

    /** A prompt part with more holders than this is treated as one that any engine may have cached. */
    private static final int MAX_SESSION_HOLDERS = 8;

    private final PlacementPolicy policy;
    private final FirstByteModel model;
    private final double meanServiceMs;
    private final TargetPool pool;
    private final long nowMs;
    private final int healthyTargets;
    /** With most targets ejected the cause is elsewhere, and excluding them would stop the service. */
    private final boolean ignoreHealth;

    private TargetChoice(
            PlacementPolicy policy, FirstByteModel model, double meanServiceMs, TargetPool pool, long nowMs) {
        this.policy = policy;
        this.model = model;
        this.meanServiceMs = meanServiceMs;
        this.pool = pool;
        this.nowMs = nowMs;
        int ejected = (int)
                pool.usable().stream().filter(target -> target.isEjected(nowMs)).count();
        this.healthyTargets = pool.size() - ejected;
        this.ignoreHealth = 2 * ejected > pool.size();
    }

    /** Creates a choice with the current state of the targets. */
    static TargetChoice at(
            PlacementPolicy policy, FirstByteModel model, double meanServiceMs, TargetPool pool, long nowMs) {
        TargetChoice choice = new TargetChoice(policy, model, meanServiceMs, pool, nowMs);
        pool.order().update(choice::waitMs, TargetChoice::loadMs, choice::slowness);
        pool.observeFreeShare(nowMs);
        return choice;
    }

    long atMs() {
        return nowMs;
    }

    /** The number of targets that are not ejected because of failures. */
    int healthyTargets() {
        return healthyTargets;
    }

    /** Whether any target can take a request now. */
    boolean hasFree() {
        return pool.order().hasFree();
    }

    /** Whether any target that can take a request now has spare capacity for late ones. */
    boolean hasSpare() {
        return pool.order().ranking().stream().anyMatch(TargetChoice::isFreeAndSpare);
    }

    /** The number of targets that can take a request now and have spare capacity for late ones. */
    long spareTargets() {
        return pool.order().ranking().stream()
                .filter(TargetChoice::isFreeAndSpare)
                .count();
    }

    private static boolean isFreeAndSpare(TargetOrder.RankedTarget ranked) {
        return ranked.isFree() && isSpare(ranked.target());
    }

    private static boolean isSpare(TargetLoad target) {
        return target.load() <= SPARE_LOAD;
    }

    /** Updates the order after a request was started at the target, for the next choice. */
    void started(TargetLoad target) {
        pool.order().update(target, this::waitMs, TargetChoice::loadMs);
    }

    /** The target at which to start the request now; null if the request has to wait. */
    @Nullable
    Chosen chooseInTime(WaitingRequest request) {
        if (!hasFree()) {
            return null;
        }
        return decide(request, request.prompt().isEmpty() ? bestOfAll(request) : bestWithPrompt(request));
    }

    /** Same as {@link #chooseInTime} with an exhaustive search; the reference for tests. */
    @Nullable
    Chosen chooseInTimeExhaustively(WaitingRequest request) {
        return decide(request, bestOfAll(request));
    }

    private @Nullable Chosen decide(WaitingRequest request, BestCandidates found) {
        Candidate best = found.best;
        Candidate bestFree = found.bestFree;
        if (best == null || bestFree == null) {
            return null;
        }
        if (best.waitMs() == 0) {
            return best.chosen();
        }
        double firstByteMs = WAIT_SAFETY_FACTOR
                * (best.waitMs()
                        + slowness(best.chosen().target())
                                * model.expectedMs(best.chosen().prefillTokens()));
        boolean canWait = nowMs + firstByteMs <= request.objectiveAtMs();
        return canWait || isTooExpensive(bestFree, best) ? null : bestFree.chosen();
    }

    private BestCandidates bestOfAll(WaitingRequest request) {
        BestCandidates found = new BestCandidates();
        RequestContext context = context(request);
        for (TargetLoad target : candidates(request)) {
            found.add(candidate(request, target, context));
        }
        return found;
    }

    /** Finds the same candidates as an exhaustive search, but skips engines that cannot be better. */
    private BestCandidates bestWithPrompt(WaitingRequest request) {
        BestCandidates found = new BestCandidates();
        RequestContext context = context(request);
        Predicate<TargetLoad> allowed = allowed(request);
        long minUncachedTokensOfOthers = addHolders(request, context, allowed, found);
        TargetLoad home = context.home();
        if (home != null && allowed.test(home)) {
            found.add(candidate(request, home, context));
        }
        addRanked(request, context, allowed, minPrefillMs(request, minUncachedTokensOfOthers, context), found);
        return found;
    }

    /**
     * Examines the holders of the prompt's parts, from the last part to the first, up to a part that any engine may
     * have cached.
     *
     * @return the minimum number of tokens that all other engines have to prefill: those behind that part
     */
    private long addHolders(
            WaitingRequest request, RequestContext context, Predicate<TargetLoad> allowed, BestCandidates found) {
        long minUncachedTokensOfOthers = 0;
        for (int part = request.prompt().size() - 1; part >= 0; part--) {
            List<TargetLoad> holders = pool.partIndex().of(request.prompt().get(part));
            if (holders.size() > MAX_SESSION_HOLDERS) {
                return minUncachedTokensOfOthers;
            }
            holders.stream().filter(allowed).forEach(holder -> found.add(candidate(request, holder, context)));
            minUncachedTokensOfOthers += request.prompt().get(part).tokens();
        }
        return minUncachedTokensOfOthers;
    }

    /** Examines the targets in order until none of the remaining ones can be better. */
    private void addRanked(
            WaitingRequest request,
            RequestContext context,
            Predicate<TargetLoad> allowed,
            double minPrefillMs,
            BestCandidates found) {
        double minSlowness = pool.order().minSlowness();
        for (TargetOrder.RankedTarget ranked : pool.order().ranking()) {
            if (!found.canBeBeaten(ranked.costMs() + minWorkMs(minPrefillMs, minSlowness, context), true)) {
                return;
            }
            double minCostMs = ranked.costMs() + minWorkMs(minPrefillMs, ranked.slowness(), context);
            if (found.canBeBeaten(minCostMs, ranked.isFree()) && allowed.test(ranked.target())) {
                found.add(candidate(request, ranked.target(), context));
            }
        }
    }

    /**
     * Minimum prefill time, at the pool's speed, at a target that has {@code uncachedTokens} of the prompt to prefill or
     * fetch.
     */
    private double minPrefillMs(WaitingRequest request, long uncachedTokens, RequestContext context) {
        long cachedTokens = request.promptTokens() - uncachedTokens;
        long fetchableTokens = Math.max(0, context.sources().maxTokens() - cachedTokens);
        double prefillMs = (uncachedTokens - (1 - MIN_FETCH_COST_SHARE) * fetchableTokens) * model.msPerToken();
        // A fetch that would save less than the minimum is not made, so having slightly less cached can reduce the cost
        // by that much.
        return Math.max(0, prefillMs - MIN_SAVED_MS);
    }

    /** Minimum cost, besides wait and load, of a target of this slowness. */
    private double minWorkMs(double minPrefillMs, double slowness, RequestContext context) {
        double awayFromHomeShare = context.home() == null ? 0 : HOME_PREFERENCE;
        return (prefillWeight() + SPEED_WEIGHT * (slowness - 1) + awayFromHomeShare) * minPrefillMs;
    }

    /**
     * Excludes targets of a software version that cannot continue the request's stream, and those that have already
     * failed the request, unless no other target remains.
     */
    private Predicate<TargetLoad> allowed(WaitingRequest request) {
        Set<TargetId> excluded = request.excluded();
        Predicate<TargetLoad> able = target -> target.isUsable() && request.isServedBy(target);
        Predicate<TargetLoad> notExcluded = target ->
                able.test(target) && !excluded.contains(target.settings().id());
        boolean anyRemaining = (!request.continuesStream() && excluded.size() < pool.size())
                || pool.usable().stream().anyMatch(notExcluded);
        return anyRemaining ? notExcluded : able;
    }

    /**
     * Whether the request would cost the others too much at a free target: in a full pool, the time to prefill a prompt
     * again is taken from requests whose prompts are cached at their targets. Where memory is scarce, the parts evicted for
     * it are prefilled again too; slots are rarely in use there, so the pool is full if hardly any target is free.
     */
    private boolean isTooExpensive(Candidate free, Candidate best) {
        return policy.has(Mechanism.DEAR_TARGETS)
                && isFull(free.chosen().target())
                && free.poolWorkMs() - best.poolWorkMs() > MAX_EXTRA_COST_MS;
    }

    private boolean isFull(TargetLoad target) {
        return target.load() > SPARE_LOAD || (target.isMemoryScarce() && pool.isOverloaded());
    }

    /**
     * The target at which to start a late request now: only one with spare capacity and with the prompt cached. Null if
     * there is none.
     */
    @Nullable
    Chosen chooseLate(WaitingRequest request) {
        if (!hasFree()) {
            return null;
        }
        RequestContext context = context(request);
        Candidate best = null;
        Candidate bestSpare = null;
        for (TargetLoad target : candidates(request)) {
            Candidate candidate = candidate(request, target, context);
            boolean spare = candidate.waitMs() == 0 && isSpare(target);
            best = best == null || candidate.poolWorkMs() < best.poolWorkMs() ? candidate : best;
            bestSpare = spare ? cheaper(bestSpare, candidate) : bestSpare;
        }
        if (best == null || bestSpare == null || bestSpare.poolWorkMs() - best.poolWorkMs() > MAX_EXTRA_COST_MS) {
            return null;
        }
        return bestSpare.chosen();
    }

    private List<TargetLoad> candidates(WaitingRequest request) {
        return pool.usable().stream().filter(allowed(request)).toList();
    }

    private Candidate candidate(WaitingRequest request, TargetLoad target, RequestContext context) {
        double waitMs = queueMs(target) + slotWaitMs(target, request);
        if (request.prompt().isEmpty()) {
            double serviceMs = policy.has(Mechanism.TARGET_SPEED)
                    ? target.expectedServiceMs(meanServiceMs, nowMs)
                    : target.meanServiceMs(meanServiceMs, nowMs);
            double workMs = serviceMs * (1 + target.load());
            return new Candidate(Chosen.withoutFetch(target, 0), waitMs, workMs, workMs);
        }
        Chosen chosen = chosen(request, target, context.sources());
        double prefillMs = chosen.prefillTokens() * model.msPerToken();
        double awayFromHomeMs = context.isAwayFromHome(target) ? HOME_PREFERENCE * prefillMs : 0;
        double poolWorkMs = prefillWeight() * prefillMs + awayFromHomeMs + loadMs(target);
        double slowness = slowness(target);
        double workMs = poolWorkMs + SPEED_WEIGHT * (slowness - 1) * prefillMs;
        double firstByteMs = waitMs + slowness * model.expectedMs(chosen.prefillTokens());
        if (slowness > 1 && nowMs + firstByteMs > request.objectiveAtMs()) {
            workMs += slowness * prefillMs;
        }
        return new Candidate(chosen, waitMs, workMs, poolWorkMs);
    }

    /** The time that the target takes for its work relative to the pool. */
    private double slowness(TargetLoad target) {
        return policy.has(Mechanism.TARGET_SPEED) ? target.speed().slowness(nowMs) : 1;
    }

    private double prefillWeight() {
        return policy.has(Mechanism.READING_WEIGHT) ? PREFILL_WEIGHT : 1;
    }

    private static double loadMs(TargetLoad target) {
        return LOAD_MS * target.load();
    }

    /** Time until the target can take a request, its size aside. */
    private double waitMs(TargetLoad target) {
        return queueMs(target) + slotWaitMs(target, null);
    }

    private double queueMs(TargetLoad target) {
        double msPerToken = slowness(target) * model.msPerToken();
        return Math.max(0, target.pendingPrefillTokens(nowMs, msPerToken) * msPerToken - MIN_PREFILL_QUEUE_MS);
    }

    private double slotWaitMs(TargetLoad target, @Nullable WaitingRequest request) {
        long coldWaitMs = target.coldWaitMs(pool.coldStartShare(), nowMs);
        if (coldWaitMs > 0) {
            return coldWaitMs;
        }
        return target.hasRoom(request, ignoreHealth, nowMs) ? 0 : Math.max(1, target.slotWaitMs());
    }

    private RequestContext context(WaitingRequest request) {
        boolean none = request.prompt().isEmpty() || !policy.has(Mechanism.FETCHING);
        PromptSources sources = none ? PromptSources.NONE : PromptSources.of(request.prompt(), pool.partIndex(), nowMs);
        return new RequestContext(home(request.prompt()), sources);
    }

    /** Computes the tokens that the target would prefill, and those that it would fetch if that is cheaper. */
    private Chosen chosen(WaitingRequest request, TargetLoad target, PromptSources sources) {
        long uncachedTokens = target.uncachedTokens(request.prompt());
        PromptSources.Source source = sources.of(target, request.prompt());
        if (source == null) {
            return Chosen.withoutFetch(target, uncachedTokens);
        }
        double msPerToken = slowness(target) * model.msPerToken();
        long fetchedTokens = source.tokens() - (request.promptTokens() - uncachedTokens);
        double fetchShare =
                Math.max(MIN_FETCH_COST_SHARE, target.settings().memory().fetchMsPerToken() / msPerToken);
        double savedMs = (1 - fetchShare) * fetchedTokens * msPerToken;
        if (savedMs < MIN_SAVED_MS) {
            return Chosen.withoutFetch(target, uncachedTokens);
        }
        long prefillTokens = Math.round(uncachedTokens - (1 - fetchShare) * fetchedTokens);
        TargetId from = source.target().settings().id();
        return new Chosen(target, uncachedTokens, prefillTokens, fetchedTokens, from);
    }

    /** The home engine of a session that no engine has cached; null if one has. */
    private @Nullable TargetLoad home(List<PromptPart> prompt) {
        if (prompt.size() < 2 || !policy.has(Mechanism.SESSION_HOME)) {
            return null;
        }
        List<PromptPart> session = prompt.subList(0, prompt.size() - 1);
        if (pool.partIndex().minUncachedTokens(session) == 0) {
            return null;
        }
        String key = Long.toString(session.get(session.size() - 1).id());
        TargetLoad home = null;
        long maxWeight = Long.MIN_VALUE;
        for (TargetLoad target : pool.usable()) {
            long weight = Rendezvous.weight(key, target.settings().id().name());
            if (home == null || weight > maxWeight) {
                home = target;
                maxWeight = weight;
            }
        }
        return home;
    }

    /**
     * The values that are the same for all targets of one request.
     *
     * @param home the home engine of the session, null if an engine has it cached
     */
    private record RequestContext(@Nullable TargetLoad home, PromptSources sources) {
        boolean isAwayFromHome(TargetLoad target) {
            return home != null && home != target;
        }
    }

    /** The cheapest candidate found so far, and the cheapest of those that are free. */
    private static final class BestCandidates {
        private @Nullable Candidate best;
        private @Nullable Candidate bestFree;

        void add(Candidate candidate) {
            best = cheaper(best, candidate);
            bestFree = candidate.waitMs() == 0 ? cheaper(bestFree, candidate) : bestFree;
        }

        /** Whether a target with this cost would replace either candidate. */
        boolean canBeBeaten(double costMs, boolean free) {
            return best == null || costMs < best.costMs() || (free && (bestFree == null || costMs < bestFree.costMs()));
        }
    }

    private static Candidate cheaper(@Nullable Candidate best, Candidate candidate) {
        return best == null || candidate.costMs() < best.costMs() ? candidate : best;
    }

    /**
     * A target for a request, with its work before the first byte.
     *
     * @param uncachedTokens prompt tokens that the target does not have cached
     * @param prefillTokens the equivalent prefill work, a fetched token counted as a fraction of one
     * @param fetchFrom the target that has more of the prompt cached, null if nothing is fetched
     */
    record Chosen(
            TargetLoad target,
            long uncachedTokens,
            long prefillTokens,
            long fetchedTokens,
            @Nullable TargetId fetchFrom) {
        static Chosen withoutFetch(TargetLoad target, long uncachedTokens) {
            return new Chosen(target, uncachedTokens, uncachedTokens, 0, null);
        }
    }

    /**
     * The cost of one target for one request.
     *
     * @param waitMs time until the target can take the request, 0 if it can now
     * @param workMs cost of the request there after the wait
     * @param poolWorkMs the same at the pool's speed: what the choice takes from other requests
     */
    private record Candidate(Chosen chosen, double waitMs, double workMs, double poolWorkMs) {
        double costMs() {
            return waitMs + workMs;
        }
    }
}
