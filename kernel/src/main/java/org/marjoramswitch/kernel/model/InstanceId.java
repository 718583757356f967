package org.marjoramswitch.kernel.model;

/** The configured name of an instance. It survives restarts, unlike an incarnation. */
public record InstanceId(String name) implements Comparable<InstanceId> {
    public static InstanceId of(String name) {
        return new InstanceId(name);
    }

    @Override
    public int compareTo(InstanceId other) {
        return name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return name;
    }
}
