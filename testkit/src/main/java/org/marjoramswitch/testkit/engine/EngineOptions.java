package org.marjoramswitch.testkit.engine;

import java.util.List;

/** Mutable options of a {@link ModelEngine}; each setter returns this object. */
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

    /** Steps of 4 ms, a batch of 16, outputs of 200 tokens on average, every model served, no faults. */
    public static EngineOptions defaults() {
        return new EngineOptions();
    }

    /** Duration of a step, which generates one token for each request in the batch. */
    public EngineOptions stepMs(long value) {
        stepMs = value;
        return this;
    }

    public EngineOptions maxBatch(int value) {
        maxBatch = value;
        return this;
    }

    /** Engines with the same seed generate the same output for the same request body. */
    public EngineOptions seed(long value) {
        seed = value;
        return this;
    }

    /** Sets the median and the sigma of the logarithm of the log-normal output length. */
    public EngineOptions outputLengths(double median, double sigmaOfLog) {
        medianTokens = median;
        sigma = sigmaOfLog;
        return this;
    }

    /** Uncached prompt tokens that one step prefills. */
    public EngineOptions prefillTokensPerStep(int value) {
        prefillTokensPerStep = value;
        return this;
    }

    /** Sets the number of prompt prefixes in the cache and the length of a prefix in characters. */
    public EngineOptions prefixCache(int prefixes, int charsOfPrefix) {
        cachedPrefixes = prefixes;
        prefixChars = charsOfPrefix;
        return this;
    }

    /** Number of steps between writes of a stream; each token is still sent as a separate event. */
    public EngineOptions flushSteps(int value) {
        flushSteps = value;
        return this;
    }

    /** Interval between updates of the load report. */
    public EngineOptions loadReportEveryMs(long value) {
        loadReportEveryMs = value;
        return this;
    }

    /** Cache events become visible after a delay; one in {@code lostEvery} is lost, or none if it is 0. */
    public EngineOptions cacheEvents(long delayMs, int lostEvery) {
        cacheEventDelayMs = delayMs;
        cacheEventLostEvery = lostEvery;
        return this;
    }

    /** Whether an order with an outdated fencing number is rejected. */
    public EngineOptions checksFencing(boolean value) {
        checksFencing = value;
        return this;
    }

    /** Whether a request is cancelled when its caller's connection closes. */
    public EngineOptions cancelsOnClose(boolean value) {
        cancelsOnClose = value;
        return this;
    }

    /** Whether the engine reports the state of a request and can resume its response on another connection. */
    public EngineOptions resumes(boolean value) {
        resumes = value;
        return this;
    }

    /** Time to load a model. */
    public EngineOptions loadMs(long value) {
        loadMs = value;
        return this;
    }

    /** Delay of a response under {@link EngineFault#LATE}. */
    public EngineOptions lateMs(long value) {
        lateMs = value;
        return this;
    }

    /** Tokens sent before the connection is closed under {@link EngineFault#BREAK_OFF}. */
    public EngineOptions breakAfterTokens(int value) {
        breakAfterTokens = value;
        return this;
    }

    /** Models loaded at the start; with an empty list, the engine serves any model. */
    public EngineOptions models(List<String> value) {
        models = List.copyOf(value);
        return this;
    }
}
