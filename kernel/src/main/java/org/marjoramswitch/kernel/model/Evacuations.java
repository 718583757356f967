package org.marjoramswitch.kernel.model;

import java.util.Set;

/**
 * The data centres whose targets receive no new requests, as the operators listed them at a revision of the key-value
 * store.
 *
 * @param revision increases with every change of the list; of two lists the one with the greater revision is valid
 */
public record Evacuations(long revision, Set<DataCentreId> dataCentres) {
    public static final Evacuations NONE = new Evacuations(0, Set.of());

    public Evacuations {
        dataCentres = Set.copyOf(dataCentres);
    }

    public static Evacuations of(long revision, Set<DataCentreId> dataCentres) {
        return new Evacuations(revision, dataCentres);
    }
}
