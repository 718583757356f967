package org.marjoramswitch.kernel.placement;

/** Mean and deviation of observations, weighted by an exponential decay with their age. Not thread-safe. */
final class DecayedSample {
    private final double memoryMs;
    private double weight;
    private double sum;
    private double sumOfSquares;
    private long updatedAtMs;

    DecayedSample(double memoryMs) {
        this.memoryMs = memoryMs;
    }

    void add(double value, long nowMs) {
        decay(nowMs);
        weight += 1;
        sum += value;
        sumOfSquares += value * value;
    }

    /** Replaces all observations by those of another sample. */
    void copyFrom(DecayedSample other) {
        weight = other.weight;
        sum = other.sum;
        sumOfSquares = other.sumOfSquares;
        updatedAtMs = other.updatedAtMs;
    }

    /** The number of observations, each counted by its decayed weight. */
    double weight(long nowMs) {
        return weight * Math.exp((updatedAtMs - nowMs) / memoryMs);
    }

    double mean() {
        return weight == 0 ? 0 : sum / weight;
    }

    /** The sum of the squared deviations from the mean, decayed as the weight. */
    double squaredDeviations(long nowMs) {
        double now = Math.max(0, sumOfSquares - mean() * sum);
        return now * Math.exp((updatedAtMs - nowMs) / memoryMs);
    }

    private void decay(long nowMs) {
        double factor = Math.exp((updatedAtMs - nowMs) / memoryMs);
        weight *= factor;
        sum *= factor;
        sumOfSquares *= factor;
        updatedAtMs = nowMs;
    }
}
