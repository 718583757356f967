package org.marjoramswitch.kernel.wire;

import org.marjoramswitch.kernel.membership.Datagram;

/** The result of decoding a datagram. */
public sealed interface DatagramResult {
    record Decoded(Datagram datagram) implements DatagramResult {}

    /** The datagram is invalid and must be dropped. */
    record Malformed(WireFault fault) implements DatagramResult {}
}
