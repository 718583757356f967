package org.marjoramswitch.kernel.addresses;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;
import org.marjoramswitch.kernel.model.InstanceId;

/**
 * Draws a subset of fixed size from a weighted population such that each instance is listed with a probability in
 * proportion to its weight.
 *
 * <p><b>Algorithm.</b> Systematic sampling with unequal probabilities (Madow 1949) over a random order: the
 * probabilities are laid end to end on a line, and the points {@code u, u + 1, u + 2, ...} with {@code u} drawn from
 * {@code [0, 1)} select the instances on whose section they fall. Drawing one after another in proportion to the
 * remaining weights would be simpler, but then the probabilities approach each other as the sample approaches the
 * population: of 77 instances of which 6 are four times as large, 64 drawn in this way list nearly all of them, and
 * callers, who choose uniformly, would use the large ones no more than the small ones.
 *
 * <p><b>Sizes.</b> Probabilities in proportion to the weights exist only up to the size at which the probability of the
 * heaviest instance is 1 ({@link #largestProportionalSize}). In a larger sample, the heaviest instances are always
 * listed and the others share the rest in proportion.
 *
 * <p><b>Cost.</b> Linear in the population for each draw.
 */
final class WeightedDraw {
    private final List<Item> items;
    /** The sum of the weights of the items from this index on. */
    private final double[] tailWeights;

    private WeightedDraw(List<Item> items) {
        this.items = items;
        this.tailWeights = new double[items.size() + 1];
        for (int i = items.size() - 1; i >= 0; i--) {
            tailWeights[i] = tailWeights[i + 1] + items.get(i).weight();
        }
    }

    /** A member of the population; {@code capacity} is its weight with full headroom. */
    record Item(InstanceId id, double capacity, double weight) {}

    /** @param population items without weight are never drawn */
    static WeightedDraw of(List<Item> population) {
        return new WeightedDraw(population.stream()
                .filter(item -> item.weight() > 0)
                .sorted(Comparator.comparingDouble(Item::weight)
                        .reversed()
                        .thenComparing(item -> item.id().name()))
                .toList());
    }

    int size() {
        return items.size();
    }

    /** Returns the size up to which the probabilities are in proportion to the weights; 0 for an empty population. */
    double largestProportionalSize() {
        return items.isEmpty() ? 0 : tailWeights[0] / items.get(0).weight();
    }

    /**
     * Returns the smallest sample, from the given one on, that lists on average this share of the population's
     * capacity.
     */
    int sizeForCapacity(double share, int least) {
        double required = share * items.stream().mapToDouble(Item::capacity).sum();
        int sample = Math.min(items.size(), Math.max(1, least));
        while (sample < items.size() && expectedCapacity(sample) < required) {
            sample++;
        }
        return sample;
    }

    private double expectedCapacity(int sample) {
        int certain = certainItems(sample);
        double capacity = 0;
        for (int i = 0; i < items.size(); i++) {
            capacity += items.get(i).capacity() * probability(i, sample, certain);
        }
        return capacity;
    }

    /** Returns how many of the heaviest items are in every sample of this size. */
    private int certainItems(int sample) {
        int certain = 0;
        while (certain < sample && (sample - certain) * items.get(certain).weight() >= tailWeights[certain]) {
            certain++;
        }
        return certain;
    }

    private double probability(int index, int sample, int certain) {
        return index < certain ? 1 : (sample - certain) * items.get(index).weight() / tailWeights[certain];
    }

    /** Adds a sample to the list; the whole population if that is not larger. */
    void draw(int sample, RandomGenerator random, List<InstanceId> drawn) {
        if (sample >= items.size()) {
            items.forEach(item -> drawn.add(item.id()));
            return;
        }
        int certain = certainItems(sample);
        for (int i = 0; i < certain; i++) {
            drawn.add(items.get(i).id());
        }
        drawUncertain(sample, certain, random, drawn);
    }

    private void drawUncertain(int sample, int certain, RandomGenerator random, List<InstanceId> drawn) {
        List<Item> order = new ArrayList<>(items.subList(certain, items.size()));
        int wanted = drawn.size() + sample - certain;
        double point = random.nextDouble();
        double position = 0;
        for (int i = 0; i < order.size() && drawn.size() < wanted; i++) {
            Item item = order.set(i + random.nextInt(order.size() - i), order.get(i));
            position += (sample - certain) * item.weight() / tailWeights[certain];
            if (position > point) {
                drawn.add(item.id());
                point++;
            }
        }
    }
}
