package org.marjoramswitch.kernel.misc;

import java.util.Collection;
import java.util.List;
import net.openhft.hashing.LongHashFunction;

/** Rendezvous (highest random weight) hashing: all instances rank the same candidates in the same order. */
public final class Rendezvous {
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private Rendezvous() {}

    /** Returns the weight of a candidate for a key; equal on all instances and Java versions. */
    public static long weight(String key, String candidate) {
        return HASH.hashChars(candidate + '\u0000' + key);
    }

    /** Returns the candidates by descending weight for the key. */
    public static <T extends Comparable<T>> List<T> rank(String key, Collection<T> candidates) {
        return candidates.stream()
                .map(candidate -> new Weighted<>(weight(key, candidate.toString()), candidate))
                .sorted()
                .map(Weighted::candidate)
                .toList();
    }

    /** A candidate with its weight, computed once instead of in each comparison. Sorts by descending weight. */
    private record Weighted<T extends Comparable<T>>(long weight, T candidate) implements Comparable<Weighted<T>> {
        @Override
        public int compareTo(Weighted<T> other) {
            int byWeight = Long.compare(other.weight, weight);
            return byWeight != 0 ? byWeight : candidate.compareTo(other.candidate);
        }
    }
}
