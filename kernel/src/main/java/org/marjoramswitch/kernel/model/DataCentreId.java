package org.marjoramswitch.kernel.model;

/** The name of a data centre. */
public record DataCentreId(String name) implements Comparable<DataCentreId> {
    public static DataCentreId of(String name) {
        return new DataCentreId(name);
    }

    @Override
    public int compareTo(DataCentreId other) {
        return name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return name;
    }
}
