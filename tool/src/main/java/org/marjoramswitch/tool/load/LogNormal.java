package org.marjoramswitch.tool.load;

import java.util.random.RandomGenerator;

/** Log-normal distribution of integers, clamped to the range 1 to {@code max}. */
public record LogNormal(long median, double sigma, long max) {
    public static LogNormal of(long median, double sigma, long max) {
        return new LogNormal(median, sigma, max);
    }

    public long sample(RandomGenerator random) {
        double value = median * Math.exp(sigma * random.nextGaussian());
        return Math.max(1, Math.min(max, Math.round(value)));
    }
}
