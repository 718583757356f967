package org.marjoramswitch.kernel.placement;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.capacity.OutlierEjection;
import org.marjoramswitch.kernel.capacity.PoolFaultRate;
import org.marjoramswitch.kernel.model.PromptPart;
import org.marjoramswitch.kernel.settings.TargetSettings;

/**
 * Tracks the requests that an arbiter has placed at one target, its cached prompt parts and its observed service times.
 */
final class TargetLoad {
    /** Weight of the newest value in an exponential moving average. */
    private static final double GAIN = 0.1;
    /**
     * Half-life of an observed mean, which decays towards the optimistic estimate so that a slow target is used again.
     */
    private static final double HALF_LIFE_MS = 5_000;
    /**
     * Expected service time of a target without recent observations, relative to the pool's mean. With the mean itself,
     * a target that was slow once would stay the most expensive one as long as requests arrive one at a time.
     */
    private static final double OPTIMISTIC_SERVICE_SHARE = 0.8;
    /**
     * Time without a response after which a target counts with the optimistic service time. Of targets that differ by
     * chance only, the one that has been unused for longest is cheapest, so that each is observed again.
     */
    private static final double UNUSED_MS = 2_000;

    private final OutlierEjection health;
    private final PromptCache cache;
    private final ColdStartLimiter coldStarts;
    private final EngineMemoryModel memoryModel;
    private final UsableMemoryShare usableMemory = new UsableMemoryShare();
    private final TargetSpeed speed;
    private final TargetSpeed serviceSpeed;
    private TargetSettings settings;
    private boolean usable = true;
    private int inFlight;
    private long pendingPrefillTokens;
    private long prefillingSinceMs;
    private long runningTokens;
    /** Stated output tokens of the running requests. */
    private long runningOutputTokens;
    /** Memory of running requests whose parts are unknown: those that another arbiter placed, and plain calls. */
    private long unknownTokens;

    private double serviceMs;
    private long servedAtMs;
    private double endIntervalMs = HALF_LIFE_MS;
    private long endedAtMs;

    private TargetLoad(
            TargetSettings settings,
            PromptPartIndex partIndex,
            PoolFaultRate poolFaultRate,
            ColdStartLimiter coldStarts,
            EngineMemoryModel memoryModel,
            PoolSpeeds poolSpeeds) {
        this.memoryModel = memoryModel;
        this.speed = TargetSpeed.create(poolSpeeds.firstBytes());
        this.serviceSpeed = TargetSpeed.create(poolSpeeds.services());
        this.settings = settings;
        this.health = OutlierEjection.create(poolFaultRate);
        this.coldStarts = coldStarts;
        this.cache = PromptCache.create(part -> partIndex.add(part, this), part -> partIndex.remove(part, this));
    }

    /**
     * @param partIndex is updated with the parts that the target has cached
     * @param poolSpeeds is updated with the target's observations
     */
    static TargetLoad create(
            TargetSettings settings,
            PromptPartIndex partIndex,
            PoolFaultRate poolFaultRate,
            ColdStartLimiter coldStarts,
            EngineMemoryModel memoryModel,
            PoolSpeeds poolSpeeds) {
        return new TargetLoad(settings, partIndex, poolFaultRate, coldStarts, memoryModel, poolSpeeds);
    }

    TargetSettings settings() {
        return settings;
    }

    void settings(TargetSettings newSettings) {
        settings = newSettings;
    }

    /** Whether the target may receive requests and be a source of cached prompt parts. */
    boolean isUsable() {
        return usable;
    }

    void setUsable(boolean isUsable) {
        usable = isUsable;
    }

    OutlierEjection health() {
        return health;
    }

    /** The speed observed from times to first byte. */
    TargetSpeed speed() {
        return speed;
    }

    /** The speed observed from service times. */
    TargetSpeed serviceSpeed() {
        return serviceSpeed;
    }

    int inFlight() {
        return inFlight;
    }

    /** The share of the slots in use. */
    double load() {
        return (double) inFlight / Math.max(1, settings.slots());
    }

    /**
     * Whether the target can take the request now, given its slots, memory and health.
     *
     * @param request null for a request of any size
     */
    boolean hasRoom(@Nullable WaitingRequest request, boolean ignoreHealth, long nowMs) {
        int free = Math.max(0, settings.slots() - inFlight);
        int allowed = ignoreHealth ? free : health.allowed(free, inFlight, nowMs);
        if (allowed <= 0) {
            return false;
        }
        long memoryTokens = settings.memory().tokens();
        return memoryTokens == 0 || inFlight == 0 || neededTokens(request) <= usableMemoryShare(nowMs) * memoryTokens;
    }

    private double usableMemoryShare(long nowMs) {
        return isMemoryScarce() ? usableMemory.at(nowMs) : UsableMemoryShare.MAX;
    }

    /** Records that the engine had less memory left than estimated. */
    void memoryExceeded(long nowMs) {
        usableMemory.exceeded(nowMs);
    }

    /** The memory that the running requests and this one need. */
    private double neededTokens(@Nullable WaitingRequest request) {
        if (!isMemoryScarce()) {
            return runningTokens + (request == null ? 0 : request.memoryTokens());
        }
        return request == null
                ? usedTokens(0)
                : usedTokens(request.outputTokens()) + cache.unusedTokens(request.prompt());
    }

    /**
     * The expected memory of the running requests and of more output. The error is that of the running requests alone, so
     * that a request never seems to need less than none, on which the search of {@link TargetChoice} relies.
     */
    private double usedTokens(long moreOutputTokens) {
        double outputTokens = memoryModel.expectedOutputTokens(runningOutputTokens + moreOutputTokens, inFlight);
        return cache.usedTokens() + unknownTokens + outputTokens;
    }

    /**
     * Time until a target in its cold start may receive a request; 0 if it may receive one now. A request does not wait
     * for the limiter, since many would choose the same target: the time is that until the target has warmed up.
     */
    long coldWaitMs(double coldStartShare, long nowMs) {
        boolean blocked = coldStarts.waitMs(settings.coldStart(), coldStartShare, nowMs) > 0;
        return blocked ? settings.coldStart().untilMs() - nowMs : 0;
    }

    boolean isCold(long nowMs) {
        return settings.coldStart().isLimited(nowMs);
    }

    /** Records the start of a request for the limit of cold targets. */
    void countStart(double coldStartShare, long nowMs) {
        coldStarts.started(settings.coldStart(), coldStartShare, nowMs);
    }

    boolean isEjected(long nowMs) {
        return health.isEjected(nowMs);
    }

    long uncachedTokens(List<PromptPart> prompt) {
        return cache.uncachedTokens(prompt);
    }

    /**
     * The prompt tokens that the target has yet to prefill. Only first bytes show that a prefill has ended, so the
     * progress since the last first byte is estimated from the learned rate.
     *
     * @param msPerToken the target's prefill time for a token
     */
    double pendingPrefillTokens(long nowMs, double msPerToken) {
        double prefilledTokens = (nowMs - prefillingSinceMs) / msPerToken;
        return Math.max(0, pendingPrefillTokens - Math.max(0, prefilledTokens));
    }

    /** The leading prompt tokens that another target could fetch from this one. */
    long prefilledTokens(List<PromptPart> prompt) {
        return cache.prefilledTokens(prompt);
    }

    void started(List<PromptPart> prompt, long prefillTokens, long memoryNeeded, long nowMs) {
        add(prefillTokens, memoryNeeded, false, nowMs);
        if (prompt.isEmpty()) {
            unknownTokens += memoryNeeded;
            return;
        }
        runningOutputTokens += memoryNeeded - tokens(prompt);
        cache.use(prompt);
        cache.dispatched(prompt, cacheLimitTokens());
        trimCache();
    }

    /** The memory that cached parts may use whatever runs; 0 if {@link #trimCache} limits them. */
    private long cacheLimitTokens() {
        return isMemoryScarce() ? 0 : settings.memory().tokens();
    }

    /** Whether running requests and cached parts exceed the memory before all slots are in use. */
    boolean isMemoryScarce() {
        return memoryModel.isScarce(settings);
    }

    /** The memory that running requests are expected to need. */
    long memoryUsedTokens() {
        return Math.round(usedTokens(0));
    }

    private static long tokens(List<PromptPart> prompt) {
        return prompt.stream().mapToLong(PromptPart::tokens).sum();
    }

    /** Where memory is scarce, cached parts have only what running requests leave. */
    private void trimCache() {
        if (!isMemoryScarce()) {
            return;
        }
        double heldTokens = usedTokens(0) - cache.usedTokens();
        cache.trimUnused(Math.max(0, settings.memory().tokens() - Math.round(heldTokens)));
    }

    /** Adds a request that another arbiter placed here. */
    void takeOver(long prefillTokens, long memoryNeeded, boolean responseStarted, long nowMs) {
        add(prefillTokens, memoryNeeded, responseStarted, nowMs);
        unknownTokens += memoryNeeded;
    }

    private void add(long prefillTokens, long memoryNeeded, boolean responseStarted, long nowMs) {
        inFlight++;
        runningTokens += memoryNeeded;
        if (responseStarted) {
            return;
        }
        if (pendingPrefillTokens == 0) {
            prefillingSinceMs = nowMs;
        }
        pendingPrefillTokens += prefillTokens;
    }

    /** Records that the prompt of a request was prefilled. */
    void prefilled(List<PromptPart> prompt, long prefillTokens, long nowMs) {
        cache.prefilled(prompt, cacheLimitTokens());
        trimCache();
        prefillEnded(prefillTokens, nowMs);
    }

    /** Records that a request ended before its prompt was prefilled. */
    void notPrefilled(List<PromptPart> prompt, long prefillTokens, long nowMs) {
        cache.notPrefilled(prompt);
        prefillEnded(prefillTokens, nowMs);
    }

    private void prefillEnded(long prefillTokens, long nowMs) {
        pendingPrefillTokens = Math.max(0, pendingPrefillTokens - prefillTokens);
        prefillingSinceMs = nowMs;
    }

    /** @param prompt empty if another arbiter placed the request */
    void ended(List<PromptPart> prompt, long memoryNeeded, long nowMs) {
        inFlight = Math.max(0, inFlight - 1);
        if (prompt.isEmpty()) {
            unknownTokens = Math.max(0, unknownTokens - memoryNeeded);
        } else {
            runningOutputTokens = Math.max(0, runningOutputTokens - memoryNeeded + tokens(prompt));
            cache.release(prompt);
        }
        runningTokens = Math.max(0, runningTokens - memoryNeeded);
        if (endedAtMs > 0) {
            endIntervalMs += GAIN * (nowMs - endedAtMs - endIntervalMs);
        }
        endedAtMs = nowMs;
    }

    /** Clears the cache of a target that is gone, so that nothing is fetched from it. */
    void clearCache() {
        cache.clear();
    }

    /** The expected time until a full target frees a slot. */
    double slotWaitMs() {
        return endIntervalMs;
    }

    /** Records the service time of a request. */
    void served(long elapsedMs, double poolMeanMs, long nowMs) {
        double knownMs = meanServiceMs(poolMeanMs, nowMs);
        serviceMs = knownMs + GAIN * (elapsedMs - knownMs);
        servedAtMs = nowMs;
        serviceSpeed.observe(elapsedMs, poolMeanMs, nowMs);
    }

    /**
     * The expected service time here: the pool's mean, adjusted by a significant difference of this target, and lower
     * the longer the target has not been used.
     */
    double expectedServiceMs(double poolMeanMs, long nowMs) {
        double unusedMs = servedAtMs == 0 ? UNUSED_MS : Math.min(UNUSED_MS, nowMs - servedAtMs);
        double optimism = 1 - (1 - OPTIMISTIC_SERVICE_SHARE) * unusedMs / UNUSED_MS;
        return optimism * serviceSpeed.expectedMs(poolMeanMs, nowMs);
    }

    /** The mean service time here, decayed by its age; the pool's mean if none was observed. */
    double meanServiceMs(double poolMeanMs, long nowMs) {
        if (servedAtMs == 0) {
            return poolMeanMs;
        }
        double freshness = Math.pow(0.5, (nowMs - servedAtMs) / HALF_LIFE_MS);
        double optimisticMs = OPTIMISTIC_SERVICE_SHARE * poolMeanMs;
        return optimisticMs + freshness * (serviceMs - optimisticMs);
    }
}
