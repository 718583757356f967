package org.marjoramswitch.kernel.configuration;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.SortedMap;
import org.marjoramswitch.kernel.misc.Sha256;

/** The digest of a generation: its number, then each team's name and body with their lengths, by team. */
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

    /** The length goes first: without it two trees whose names and bodies join to the same text would be one. */
    private static void add(List<byte[]> parts, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        parts.add(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
        parts.add(bytes);
    }
}
