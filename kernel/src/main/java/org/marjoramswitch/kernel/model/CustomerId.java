package org.marjoramswitch.kernel.model;

/** The name of a customer. Capacity is shared between customers. */
public record CustomerId(String name) implements Comparable<CustomerId> {
    public static CustomerId of(String name) {
        return new CustomerId(name);
    }

    @Override
    public int compareTo(CustomerId other) {
        return name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return name;
    }
}
