package org.marjoramswitch.kernel.placement;

/**
 * Predicts a target's time to first byte as a fixed part plus a time for each prompt token that it has to prefill
 * first, including those of earlier requests.
 *
 * <p>The model is a least-squares line through the newest observations, weighted by exponential decay. The initial
 * estimate is slower than the known engines, so that an arbiter without observations sends too little rather than too
 * much; it counts as {@value #PRIOR_OBSERVATIONS} observations.
 *
 * <p>Edge cases: if all observations have about the same number of tokens, the slope cannot be separated from the fixed
 * part. The slope is therefore clamped to bounds, and the fixed part follows from it.
 */
final class FirstByteModel {
    private static final double PRIOR_OBSERVATIONS = 20;
    private static final double PRIOR_FIXED_MS = 20;
    private static final double PRIOR_MS_PER_TOKEN = 1.0 / 60;
    private static final double PRIOR_TOKENS = 4_000;
    /** From this many on, observations outweigh the initial estimate. */
    private static final long MIN_OBSERVATIONS = 20;

    /** About the newest 300 observations count: one to two seconds of a pool under load. */
    private static final double DECAY = 1 - 1.0 / 300;

    private static final double MIN_MS_PER_TOKEN = 1.0 / 1_000;
    private static final double MAX_MS_PER_TOKEN = 1.0 / 5;
    private static final double MAX_FIXED_MS = 200;

    private long observations;
    private double weight;
    private double sumTokens;
    private double sumMs;
    private double sumTokensTokens;
    private double sumTokensMs;
    private double fixedMs = PRIOR_FIXED_MS;
    private double msPerToken = PRIOR_MS_PER_TOKEN;

    FirstByteModel() {
        add(0, PRIOR_FIXED_MS, PRIOR_OBSERVATIONS / 2);
        add(PRIOR_TOKENS, PRIOR_FIXED_MS + PRIOR_TOKENS * PRIOR_MS_PER_TOKEN, PRIOR_OBSERVATIONS / 2);
    }

    /**
     * Records that a first byte arrived {@code elapsedMs} after its request was placed.
     *
     * @param tokens prompt tokens to prefill before the first byte, including the request's own
     */
    void observe(double tokens, double elapsedMs) {
        observations++;
        weight *= DECAY;
        sumTokens *= DECAY;
        sumMs *= DECAY;
        sumTokensTokens *= DECAY;
        sumTokensMs *= DECAY;
        add(tokens, elapsedMs, 1);
        fit();
    }

    /** Whether there are enough observations to reject requests based on the model. */
    boolean hasEnoughObservations() {
        return observations >= MIN_OBSERVATIONS;
    }

    double msPerToken() {
        return msPerToken;
    }

    double fixedMs() {
        return fixedMs;
    }

    double expectedMs(double tokens) {
        return fixedMs + tokens * msPerToken;
    }

    private void add(double tokens, double ms, double observationWeight) {
        weight += observationWeight;
        sumTokens += observationWeight * tokens;
        sumMs += observationWeight * ms;
        sumTokensTokens += observationWeight * tokens * tokens;
        sumTokensMs += observationWeight * tokens * ms;
    }

    private void fit() {
        double spread = sumTokensTokens - sumTokens * sumTokens / weight;
        double slope = spread <= 0 ? msPerToken : (sumTokensMs - sumTokens * sumMs / weight) / spread;
        msPerToken = clamp(slope, MIN_MS_PER_TOKEN, MAX_MS_PER_TOKEN);
        fixedMs = clamp((sumMs - msPerToken * sumTokens) / weight, 0, MAX_FIXED_MS);
    }

    private static double clamp(double value, double min, double max) {
        return Math.max(min, Math.min(max, value));
    }
}
