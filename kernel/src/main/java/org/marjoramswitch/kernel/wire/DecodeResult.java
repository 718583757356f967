package org.marjoramswitch.kernel.wire;

import java.util.List;
import org.marjoramswitch.kernel.message.PeerMessage;

/** The result of decoding the messages of one frame. */
public sealed interface DecodeResult {

    /**
     * All messages of the frame.
     *
     * @param skipped number of further messages, of types or with values that this version does not know
     */
    record Decoded(List<PeerMessage> messages, int skipped) implements DecodeResult {}

    /** The frame is invalid. The link's state is undefined from here on, so the link must be closed. */
    record Malformed(WireFault fault) implements DecodeResult {}
}
