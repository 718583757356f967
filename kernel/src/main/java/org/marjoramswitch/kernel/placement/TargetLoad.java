package org.marjoramswitch.kernel.placement;

import java.util.List;
import org.marjoramswitch.kernel.capacity.OutlierEjection;
import org.marjoramswitch.kernel.model.PromptPart;
import org.marjoramswitch.kernel.settings.TargetSettings;

/** What an arbiter has placed at one target and what it learnt of it. */
final class TargetLoad {
    /** How much of the newest time counts in a mean of times. */
    private static final double GAIN = 0.1;
    /** A mean that is not renewed halves its distance to the hoped-for in this time, so that a slow target is tried again. */
    private static final double FORGET_HALF_MS = 5_000;
    /**
     * Of the pool's mean, what a target is hoped to need of which nothing was seen for long. With the pool's own mean a
     * target that was slow once stayed the dearest for good where one request at a time is asked.
     */
    private static final double HOPE = 0.8;
    /** Of an engine's memory; the rest is left to what the arbiter cannot see: other arbiters, longer answers. */
    private static final double USABLE_MEMORY = 0.9;

    private final OutlierEjection health = OutlierEjection.create();
    private final PromptCache cache;
    private TargetSettings settings;
    private int inFlight;
    private long unreadTokens;
    private long readSinceMs;
    private long runningTokens;
    private double serviceMs;
    private long servedAtMs;
    private double endIntervalMs = FORGET_HALF_MS;
    private long endedAtMs;

    private TargetLoad(TargetSettings settings, PartHolders holders) {
        this.settings = settings;
        this.cache = PromptCache.create(part -> holders.add(part, this), part -> holders.remove(part, this));
    }

    /** @param holders what the target keeps is entered there too */
    static TargetLoad create(TargetSettings settings, PartHolders holders) {
        return new TargetLoad(settings, holders);
    }

    TargetSettings settings() {
        return settings;
    }

    void settings(TargetSettings newSettings) {
        settings = newSettings;
    }

    OutlierEjection health() {
        return health;
    }

    int inFlight() {
        return inFlight;
    }

    /** The share of the slots in use. */
    double load() {
        return (double) inFlight / Math.max(1, settings.slots());
    }

    /** Whether a request of this size may be given to the target now, its slots, memory and health considered. */
    boolean hasRoom(long tokens, boolean ignoreHealth, long nowMs) {
        int free = Math.max(0, settings.slots() - inFlight);
        int allowed = ignoreHealth ? free : health.allowed(free, inFlight, nowMs);
        if (allowed <= 0) {
            return false;
        }
        long memoryTokens = settings.memory().tokens();
        return memoryTokens == 0 || inFlight == 0 || runningTokens + tokens <= USABLE_MEMORY * memoryTokens;
    }

    boolean isEjected(long nowMs) {
        return health.isEjected(nowMs);
    }

    long uncachedTokens(List<PromptPart> prompt) {
        return cache.uncachedTokens(prompt);
    }

    /**
     * The prompt tokens that the target has yet to read. Only first bytes tell that a prompt was read, so what was read
     * of the one in turn since the last first byte is taken off by the learnt rate.
     */
    double unreadTokens(long nowMs, FirstByteModel model) {
        double readTokens = (nowMs - readSinceMs) / model.msPerToken();
        return Math.max(0, unreadTokens - Math.max(0, readTokens));
    }

    /** The tokens of the prompt that another target could fetch from here. */
    long readTokens(List<PromptPart> prompt) {
        return cache.readTokens(prompt);
    }

    void started(List<PromptPart> prompt, long readingTokens, long memoryNeeded, long nowMs) {
        held(readingTokens, memoryNeeded, false, nowMs);
        cache.sent(prompt, settings.memory().tokens());
    }

    /** Takes over a request that another arbiter placed here. */
    void held(long readingTokens, long memoryNeeded, boolean answering, long nowMs) {
        inFlight++;
        runningTokens += memoryNeeded;
        if (answering) {
            return;
        }
        if (unreadTokens == 0) {
            readSinceMs = nowMs;
        }
        unreadTokens += readingTokens;
    }

    /** The prompt of a request was read. */
    void read(List<PromptPart> prompt, long readingTokens, long nowMs) {
        cache.read(prompt, settings.memory().tokens());
        readingOver(readingTokens, nowMs);
    }

    /** A request ended before its prompt was read. */
    void notRead(List<PromptPart> prompt, long readingTokens, long nowMs) {
        cache.notRead(prompt);
        readingOver(readingTokens, nowMs);
    }

    private void readingOver(long readingTokens, long nowMs) {
        unreadTokens = Math.max(0, unreadTokens - readingTokens);
        readSinceMs = nowMs;
    }

    void ended(long memoryNeeded, long nowMs) {
        inFlight = Math.max(0, inFlight - 1);
        runningTokens = Math.max(0, runningTokens - memoryNeeded);
        if (endedAtMs > 0) {
            endIntervalMs += GAIN * (nowMs - endedAtMs - endIntervalMs);
        }
        endedAtMs = nowMs;
    }

    /** The target is gone: nothing of what it kept can be found. */
    void gone() {
        cache.clear();
    }

    /** How long a full target probably takes to free a slot. */
    double slotWaitMs() {
        return endIntervalMs;
    }

    /** A request was served in this time. */
    void served(long tookMs, double poolMeanMs, long nowMs) {
        double known = meanServiceMs(poolMeanMs, nowMs);
        serviceMs = known + GAIN * (tookMs - known);
        servedAtMs = nowMs;
    }

    /** The mean time of a request here; the pool's where the target has none of its own that is fresh. */
    double meanServiceMs(double poolMeanMs, long nowMs) {
        if (servedAtMs == 0) {
            return poolMeanMs;
        }
        double fresh = Math.pow(0.5, (nowMs - servedAtMs) / FORGET_HALF_MS);
        double hopedMs = HOPE * poolMeanMs;
        return hopedMs + fresh * (serviceMs - hopedMs);
    }
}
