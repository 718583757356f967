package org.marjoramswitch.testkit.engine;

import java.util.List;

/** How a {@link ModelEngine} behaves; every setter returns the options themselves. */
public final class EngineOptions {
    long stepMs = 4;
    int maxBatch = 16;
    long seed = 1;
    double medianTokens = 150;
    double sigma = 0.75;
    int prefillTokensPerStep = 512;
    int cachedPrefixes = 64;
    int prefixChars = 512;
    int flushSteps = 1;
    long loadReportEveryMs = 100;
    long cacheEventDelayMs = 200;
    int cacheEventLostEvery = 0;
    boolean checksFencing = true;
    boolean cancelsOnClose = true;
    boolean resumes = true;
    long loadMs = 50;
    long lateMs = 500;
    int breakAfterTokens = 3;
    List<String> models = List.of();

    private EngineOptions() {}

    /** Steps of 4 ms, a batch of 16, answers of 200 tokens on average, every model served, no fault. */
    public static EngineOptions defaults() {
        return new EngineOptions();
    }

    /** Time of one step, in which each request of the batch gains a token. */
    public EngineOptions stepMs(long value) {
        stepMs = value;
        return this;
    }

    public EngineOptions maxBatch(int value) {
        maxBatch = value;
        return this;
    }

    /** Engines with the same seed give the same answer to the same body. */
    public EngineOptions seed(long value) {
        seed = value;
        return this;
    }

    /** Answer lengths are log-normal: their median, and sigma of the logarithm. */
    public EngineOptions outputLengths(double median, double sigmaOfLog) {
        medianTokens = median;
        sigma = sigmaOfLog;
        return this;
    }

    /** Prompt tokens outside the cache that one step takes in. */
    public EngineOptions prefillTokensPerStep(int value) {
        prefillTokensPerStep = value;
        return this;
    }

    /** How many prompt prefixes the cache holds, and how many leading characters make a prefix. */
    public EngineOptions prefixCache(int prefixes, int charsOfPrefix) {
        cachedPrefixes = prefixes;
        prefixChars = charsOfPrefix;
        return this;
    }

    /** Tokens are written every so many steps; each keeps its own chunk. */
    public EngineOptions flushSteps(int value) {
        flushSteps = value;
        return this;
    }

    /** How old a load report may grow. */
    public EngineOptions loadReportEveryMs(long value) {
        loadReportEveryMs = value;
        return this;
    }

    /** Cache events show after a delay; one in {@code lostEvery} never does, none where it is 0. */
    public EngineOptions cacheEvents(long delayMs, int lostEvery) {
        cacheEventDelayMs = delayMs;
        cacheEventLostEvery = lostEvery;
        return this;
    }

    /** Whether an order with an old fencing number is refused. */
    public EngineOptions checksFencing(boolean value) {
        checksFencing = value;
        return this;
    }

    /** Whether a request is cancelled when its caller's connection closes. */
    public EngineOptions cancelsOnClose(boolean value) {
        cancelsOnClose = value;
        return this;
    }

    /** Whether the engine says what became of a request, and gives its answer over another connection. */
    public EngineOptions resumes(boolean value) {
        resumes = value;
        return this;
    }

    /** How long loading a model takes. */
    public EngineOptions loadMs(long value) {
        loadMs = value;
        return this;
    }

    /** How late an answer is under {@link EngineFault#LATE}. */
    public EngineOptions lateMs(long value) {
        lateMs = value;
        return this;
    }

    /** How many tokens go out before the cut under {@link EngineFault#BREAK_OFF}. */
    public EngineOptions breakAfterTokens(int value) {
        breakAfterTokens = value;
        return this;
    }

    /** The models loaded at the start; an empty list serves any model. */
    public EngineOptions models(List<String> value) {
        models = List.copyOf(value);
        return this;
    }
}
