package org.marjoramswitch.kernel.model;

/** The name of a pool, which is the set of targets that serve one model or one plain service. */
public record PoolId(String name) implements Comparable<PoolId> {
    public static PoolId of(String name) {
        return new PoolId(name);
    }

    @Override
    public int compareTo(PoolId other) {
        return name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return name;
    }
}
