package org.marjoramswitch.kernel.wire;

/**
 * Limits on decoded input. They are checked before anything is allocated, so that an invalid or hostile frame costs at
 * most a small multiple of its own size.
 */
public final class WireLimits {
    /** Maximum bytes of messages in one frame. */
    public static final int MAX_FRAME_BYTES = 4 << 20;
    /** Maximum length of a name, key or digest in UTF-8 bytes. */
    public static final int MAX_NAME_BYTES = 1_024;
    /** Maximum items in one list. */
    public static final int MAX_LIST_ITEMS = 16_384;
    /** Maximum messages in one frame. */
    public static final int MAX_FRAME_MESSAGES = 16_384;
    /** Maximum customers, targets or pools that have ids on a link at a time. */
    public static final int MAX_LINK_NAMES = 16_384;
    /** Maximum cells that have ids on a link at a time; each has its own delta bases. */
    public static final int MAX_LINK_CELLS = 1_024;
    /**
     * Maximum customers per cell whose charges are delta-encoded; those of further customers are written in full.
     */
    public static final int MAX_CHARGE_BASES = 4_096;

    private WireLimits() {}
}
