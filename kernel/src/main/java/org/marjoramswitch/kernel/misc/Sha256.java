package org.marjoramswitch.kernel.misc;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** SHA-256 without the checked exception, since every Java platform provides the algorithm. */
public final class Sha256 {
    private Sha256() {}

    /** Returns the hash of the concatenated parts. */
    public static byte[] of(byte[]... parts) {
        MessageDigest digest = digest();
        for (byte[] part : parts) {
            digest.update(part);
        }
        return digest.digest();
    }

    /** Returns the hash of the text's UTF-8 bytes in lower-case hex. */
    public static String hex(String text) {
        return HexFormat.of().formatHex(of(text.getBytes(StandardCharsets.UTF_8)));
    }

    private static MessageDigest digest() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
