package org.marjoramswitch.kernel.addresses;

/** How responses are currently selected. */
public enum SelectionState {
    /** All eligible instances fit in a response and are of similar size, or the selection is switched off. */
    INACTIVE,
    /** Instances are drawn by capacity and headroom. */
    BY_HEADROOM,
    /** Most instances lack headroom, so they are drawn by capacity alone. */
    BY_CAPACITY
}
