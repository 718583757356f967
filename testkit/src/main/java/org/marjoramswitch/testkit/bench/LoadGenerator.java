package org.marjoramswitch.testkit.bench;

import java.util.Random;
import org.marjoramswitch.kernel.model.RequestSpec;

/**
 * Generates the requests of one customer's load from a fixed seed. Output and prompt lengths are log-normal; routers do
 * not know the output length. A hint, if given, is wrong by a factor of up to four in either direction. A tenth of the
 * requests is urgent.
 */
final class LoadGenerator {
    /** Standard deviation of the logarithm for which the median is three quarters of the mean. */
    private static final double SIGMA = Math.sqrt(2 * Math.log(4.0 / 3.0));

    private static final double MEAN_PROMPT_TOKENS = 200;
    private static final long MAX_TOKENS = 2_000;
    private static final double HINT_ERROR = 4;
    private static final double HINTED_SHARE = 0.8;
    private static final double URGENT_SHARE = 0.1;
    private static final int URGENT = 1;
    private static final int PREFIXES_PER_CUSTOMER = 4;
    private static final long NO_DEADLINE_MS = 600_000;

    private final CustomerLoad load;
    private final int index;
    private final Random random;

    private LoadGenerator(CustomerLoad load, int index, long seed) {
        this.load = load;
        this.index = index;
        random = new Random(seed * 1_000_003 + index);
    }

    static LoadGenerator create(CustomerLoad load, int index, long seed) {
        return new LoadGenerator(load, index, seed);
    }

    /** Returns the exponentially distributed time to the next arrival of an open loop. */
    long nextGapUs() {
        return (long) (-Math.log(1 - random.nextDouble()) / load.requestsPerS() * VirtualClock.US_PER_S);
    }

    int nextEntry() {
        return load.entries().get(random.nextInt(load.entries().size()));
    }

    BenchRequest next(long requestId, int entry, long nowUs) {
        long outputTokens = logNormal(load.meanTokens());
        long promptTokens = logNormal(MEAN_PROMPT_TOKENS);
        double hintFactor = Math.pow(HINT_ERROR, 2 * random.nextDouble() - 1);
        long hintTokens = random.nextDouble() < HINTED_SHARE ? Math.max(1, (long) (outputTokens * hintFactor)) : 0;
        int urgency = random.nextDouble() < URGENT_SHARE ? URGENT : RequestSpec.DEFAULT_URGENCY;
        long prefixHash = 1 + (long) index * PREFIXES_PER_CUSTOMER + random.nextInt(PREFIXES_PER_CUSTOMER);
        boolean repeatable = load.group() != CustomerLoad.Group.SERVICE;
        RequestSpec spec = new RequestSpec(
                requestId,
                load.customer(),
                BenchRun.poolId(load.pool()),
                urgency,
                repeatable,
                promptTokens,
                hintTokens,
                prefixHash,
                nowUs / VirtualClock.US_PER_MS + NO_DEADLINE_MS);
        return BenchRequest.of(spec, index, entry, outputTokens, nowUs);
    }

    private long logNormal(double mean) {
        double mu = Math.log(mean) - SIGMA * SIGMA / 2;
        double tokens = Math.exp(mu + SIGMA * random.nextGaussian());
        return Math.max(1, Math.min(MAX_TOKENS, Math.round(tokens)));
    }
}
