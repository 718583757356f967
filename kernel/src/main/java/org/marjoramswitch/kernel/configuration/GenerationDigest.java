package org.marjoramswitch.kernel.configuration;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.SortedMap;
import org.marjoramswitch.kernel.misc.Sha256;

/**
 * Computes the digest of a generation: SHA-256 over the generation number, then the length-prefixed name and body of
 * each team in the order of the names.
 */
final class GenerationDigest {
    private GenerationDigest() {}

    static String of(long generation, SortedMap<String, String> bodyByTeam) {
        List<byte[]> parts = new ArrayList<>();
        parts.add(ByteBuffer.allocate(Long.BYTES).putLong(generation).array());
        bodyByTeam.forEach((team, body) -> {
            add(parts, team);
            add(parts, body);
        });
        return HexFormat.of().formatHex(Sha256.of(parts.toArray(byte[][]::new)));
    }

    /** Without the length prefix, trees whose names and bodies concatenate to the same text would be equal. */
    private static void add(List<byte[]> parts, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        parts.add(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
        parts.add(bytes);
    }
}
