package org.marjoramswitch.kernel.wire;

import java.nio.ByteBuffer;

/**
 * Codec of the frames on a TCP link: the payload size as a MessagePack unsigned integer (1 byte for a payload below 128
 * bytes, 2 below 256, 3 below 65,536, otherwise 5), followed by the payload.
 */
public final class FrameCodec {
    /** Bytes that a frame adds to a payload of usual size (below 128 bytes). */
    public static final int USUAL_OVERHEAD_BYTES = 1;
    /** Maximum bytes that a frame adds to its payload. */
    public static final int MAX_OVERHEAD_BYTES = 5;

    /** The result of {@link #payloadBytes} if the prefix is not complete yet. */
    public static final int INCOMPLETE = -1;
    /** The result of {@link #payloadBytes} if the prefix is not a length or exceeds the limit. */
    public static final int INVALID = -2;

    private static final int MAX_SINGLE_BYTE = 0x7f;
    private static final int UINT8 = 0xcc;
    private static final int UINT16 = 0xcd;
    private static final int UINT32 = 0xce;

    private FrameCodec() {}

    /** Returns the bytes that a frame adds to a payload of this size. */
    public static int overheadBytes(int payloadBytes) {
        if (payloadBytes <= MAX_SINGLE_BYTE) {
            return 1;
        }
        if (payloadBytes <= 0xff) {
            return 2;
        }
        return payloadBytes <= 0xffff ? 3 : MAX_OVERHEAD_BYTES;
    }

    /** Writes the prefix of a payload of this size. */
    public static void putPrefix(ByteBuffer out, int payloadBytes) {
        switch (overheadBytes(payloadBytes)) {
            case 1 -> out.put((byte) payloadBytes);
            case 2 -> out.put((byte) UINT8).put((byte) payloadBytes);
            case 3 -> out.put((byte) UINT16).putShort((short) payloadBytes);
            default -> out.put((byte) UINT32).putInt(payloadBytes);
        }
    }

    /**
     * Reads a prefix and advances the buffer's position past it; the position stays if the prefix is incomplete.
     *
     * @return the payload's size in bytes, {@link #INCOMPLETE} or {@link #INVALID}
     */
    public static int payloadBytes(ByteBuffer in, int maxPayloadBytes) {
        if (!in.hasRemaining()) {
            return INCOMPLETE;
        }
        int first = in.get(in.position()) & 0xff;
        int prefixBytes = prefixBytes(first);
        if (prefixBytes == INVALID) {
            return INVALID;
        }
        if (in.remaining() < prefixBytes) {
            return INCOMPLETE;
        }
        long payloadBytes = lengthAt(in, first);
        if (payloadBytes > maxPayloadBytes) {
            return INVALID;
        }
        in.position(in.position() + prefixBytes);
        return (int) payloadBytes;
    }

    private static int prefixBytes(int first) {
        if (first <= MAX_SINGLE_BYTE) {
            return 1;
        }
        return switch (first) {
            case UINT8 -> 2;
            case UINT16 -> 3;
            case UINT32 -> MAX_OVERHEAD_BYTES;
            default -> INVALID;
        };
    }

    private static long lengthAt(ByteBuffer in, int first) {
        int at = in.position() + 1;
        return switch (first) {
            case UINT8 -> in.get(at) & 0xffL;
            case UINT16 -> in.getShort(at) & 0xffffL;
            case UINT32 -> in.getInt(at) & 0xffffffffL;
            default -> first;
        };
    }
}
