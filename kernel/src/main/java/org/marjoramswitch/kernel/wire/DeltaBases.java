package org.marjoramswitch.kernel.wire;

import java.util.Arrays;

/**
 * Delta encoding state of one cell on one link: the last numbers sent, from which the next ones are encoded as deltas.
 * Both ends update it identically, in the order of the messages. The subtraction wraps around, so all values are
 * encodable.
 */
final class DeltaBases {
    private long sequence;
    private long[] chargedTokens = new long[0];

    /** Returns the delta that encodes {@code value}, which becomes the base. */
    long sequenceDelta(long value) {
        long delta = value - sequence;
        sequence = value;
        return delta;
    }

    /** Returns the value that {@code delta} encodes, which becomes the base. */
    long applySequenceDelta(long delta) {
        sequence += delta;
        return sequence;
    }

    long chargedDelta(int customerId, long value) {
        if (customerId >= WireLimits.MAX_CHARGE_BASES) {
            return value;
        }
        growTo(customerId);
        long delta = value - chargedTokens[customerId];
        chargedTokens[customerId] = value;
        return delta;
    }

    long applyChargedDelta(int customerId, long delta) {
        if (customerId >= WireLimits.MAX_CHARGE_BASES) {
            return delta;
        }
        growTo(customerId);
        chargedTokens[customerId] += delta;
        return chargedTokens[customerId];
    }

    private void growTo(int customerId) {
        if (customerId >= chargedTokens.length) {
            chargedTokens = Arrays.copyOf(chargedTokens, customerId * 2 + 1);
        }
    }
}
