package org.marjoramswitch.kernel.model;

import java.util.Comparator;

/** Identifies a cell: part {@code index} of a pool's targets, whose slots one arbiter grants. */
public record CellId(PoolId pool, int index) implements Comparable<CellId> {
    private static final Comparator<CellId> ORDER =
            Comparator.comparing(CellId::pool).thenComparingInt(CellId::index);

    public static CellId of(PoolId pool, int index) {
        return new CellId(pool, index);
    }

    @Override
    public int compareTo(CellId other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return pool + "/" + index;
    }
}
