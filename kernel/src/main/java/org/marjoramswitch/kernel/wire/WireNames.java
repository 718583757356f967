package org.marjoramswitch.kernel.wire;

import java.nio.ByteBuffer;
import java.util.HexFormat;
import org.marjoramswitch.kernel.misc.Sha256;

/**
 * Decides which texts are names that every peer accepts: at most {@link WireLimits#MAX_NAME_BYTES} bytes of UTF-8,
 * without unpaired surrogates, which UTF-8 cannot represent.
 *
 * <p>A text of other programs is checked with {@link #isValid} where it enters an instance. Messages are written with
 * {@link #shortened}, so that an unchecked name never makes a peer close the link.
 */
public final class WireNames {
    private static final char SEPARATOR = '~';
    private static final int HASH_CHARS = 64;
    private static final int KEPT_BYTES = WireLimits.MAX_NAME_BYTES - HASH_CHARS - 1;

    private WireNames() {}

    /** Whether peers accept the text as a name and decode it to the same text. */
    public static boolean isValid(String text) {
        return validChars(text, WireLimits.MAX_NAME_BYTES) == text.length();
    }

    /**
     * Returns the text if it is a valid name, otherwise a valid name made of its beginning and its hash. The same text
     * yields the same name at each instance, and different texts yield different names.
     */
    public static String shortened(String text) {
        return isValid(text) ? text : text.substring(0, validChars(text, KEPT_BYTES)) + SEPARATOR + hash(text);
    }

    /** Returns the number of chars before the first unpaired surrogate and within the limit in UTF-8 bytes. */
    private static int validChars(String text, int maxBytes) {
        int bytes = 0;
        int index = 0;
        while (index < text.length()) {
            int codePoint = text.codePointAt(index);
            bytes += utf8Bytes(codePoint);
            boolean unpaired = codePoint >= Character.MIN_SURROGATE && codePoint <= Character.MAX_SURROGATE;
            if (unpaired || bytes > maxBytes) {
                return index;
            }
            index += Character.charCount(codePoint);
        }
        return index;
    }

    private static int utf8Bytes(int codePoint) {
        if (codePoint < 0x80) {
            return 1;
        }
        if (codePoint < 0x800) {
            return 2;
        }
        return Character.isBmpCodePoint(codePoint) ? 3 : 4;
    }

    /** Hashes the chars, since each charset encodes all unpaired surrogates alike. */
    private static String hash(String text) {
        ByteBuffer chars = ByteBuffer.allocate(text.length() * Character.BYTES);
        chars.asCharBuffer().put(text);
        return HexFormat.of().formatHex(Sha256.of(chars.array()));
    }
}
