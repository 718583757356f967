package org.marjoramswitch.kernel.misc;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** SHA-256 without the checked exception, which no Java platform throws. */
public final class Sha256 {
    private Sha256() {}

    /** The hash of the parts, one after the other. */
    public static byte[] of(byte[]... parts) {
        MessageDigest digest = digest();
        for (byte[] part : parts) {
            digest.update(part);
        }
        return digest.digest();
    }

    /** The hash of a text in UTF-8, in lower-case hex. */
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
