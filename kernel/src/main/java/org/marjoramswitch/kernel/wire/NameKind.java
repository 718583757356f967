package org.marjoramswitch.kernel.wire;

/** The kinds of names that are numbered on a link, each in its own table so that ids stay small. */
enum NameKind {
    CUSTOMER(0, WireLimits.MAX_LINK_NAMES),
    TARGET(1, WireLimits.MAX_LINK_NAMES),
    POOL(2, WireLimits.MAX_LINK_NAMES),
    CELL(3, WireLimits.MAX_LINK_CELLS);

    private final int number;
    private final int maxNames;

    NameKind(int number, int maxNames) {
        this.number = number;
        this.maxNames = maxNames;
    }

    /** Maximum number of names of this kind that have an id on one link at a time. */
    int maxNames() {
        return maxNames;
    }

    int number() {
        return number;
    }
}
