package org.marjoramswitch.kernel.model;

/** The name of a target, which is a model engine or an endpoint of a plain service. */
public record TargetId(String name) implements Comparable<TargetId> {
    public static TargetId of(String name) {
        return new TargetId(name);
    }

    @Override
    public int compareTo(TargetId other) {
        return name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return name;
    }
}
