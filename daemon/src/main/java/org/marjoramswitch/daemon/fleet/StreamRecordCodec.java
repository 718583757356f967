package org.marjoramswitch.daemon.fleet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.daemon.platform.KeyValueStore.Entry;
import org.marjoramswitch.kernel.event.Event;
import org.marjoramswitch.kernel.message.PeerMessage.StreamBeginning;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.stream.PersistedVersions;
import org.marjoramswitch.kernel.stream.PersistedVersions.PersistedVersion;
import org.marjoramswitch.kernel.wire.WireNames;

/** Encodes the records of {@link StreamRecordStore} as JSON. A record that cannot be read is logged and ignored. */
final class StreamRecordCodec {
    private static final KeyValueLog LOG = KeyValueLog.of(StreamRecordCodec.class);
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int KEY_DIGITS = 16;

    private StreamRecordCodec() {}

    /**
     * The versions that have served.
     *
     * @param writtenAtMs wall-clock time
     * @param revision a revision of the store before the write
     */
    record Snapshot(PersistedVersions versions, long writtenAtMs, long revision) {}

    /**
     * Streams of a pool.
     *
     * @param writtenAtMs wall-clock time
     * @param leftMs time after the write for which some of them may be resumed
     * @param keysByVersion see {@link StreamBeginning#streamKey}
     */
    record Batch(PoolId pool, long writtenAtMs, long leftMs, Map<String, List<Long>> keysByVersion) {
        static Batch of(PoolId pool, List<StreamBeginning> beginnings, long nowMs) {
            Map<String, List<Long>> keys = new TreeMap<>();
            long leftMs = 0;
            for (StreamBeginning beginning : beginnings) {
                keys.computeIfAbsent(beginning.softwareVersion(), missing -> new ArrayList<>())
                        .add(beginning.streamKey());
                leftMs = Math.max(leftMs, beginning.leftMs());
            }
            return new Batch(pool, nowMs, leftMs, keys);
        }

        List<Event.PoolStreams> streams(long nowMs) {
            long remainingMs = leftMs - Math.max(0, nowMs - writtenAtMs);
            List<StreamBeginning> beginnings = new ArrayList<>();
            keysByVersion.forEach((version, keys) ->
                    keys.forEach(key -> beginnings.add(new StreamBeginning(key, version, remainingMs))));
            return remainingMs <= 0 ? List.of() : List.of(new Event.PoolStreams(pool, beginnings));
        }
    }

    static String write(Snapshot snapshot) {
        ObjectNode json = MAPPER.createObjectNode()
                .put("writtenAtMs", snapshot.writtenAtMs())
                .put("revision", snapshot.revision())
                .put("knownForMs", snapshot.versions().knownForMs())
                .put("streamLifetimeMs", snapshot.versions().streamLifetimeMs());
        ArrayNode versions = json.putArray("versions");
        for (PersistedVersion version : snapshot.versions().versions()) {
            versions.addObject()
                    .put("pool", version.pool().name())
                    .put("version", version.softwareVersion())
                    .put("listed", version.listed())
                    .put("ageMs", version.ageMs());
        }
        return json.toString();
    }

    static String write(Batch batch) {
        ObjectNode json = MAPPER.createObjectNode()
                .put("pool", batch.pool().name())
                .put("writtenAtMs", batch.writtenAtMs())
                .put("leftMs", batch.leftMs());
        ObjectNode streams = json.putObject("streams");
        batch.keysByVersion().forEach((version, keys) -> {
            StringBuilder digits = new StringBuilder(keys.size() * KEY_DIGITS);
            keys.forEach(key -> digits.append(HexFormat.of().toHexDigits(key)));
            streams.put(version, digits.toString());
        });
        return json.toString();
    }

    static @Nullable Snapshot readSnapshot(Entry entry) {
        return read(entry, StreamRecordCodec::snapshot);
    }

    static @Nullable Batch readBatch(Entry entry) {
        return read(entry, StreamRecordCodec::batch);
    }

    private static <T> @Nullable T read(Entry entry, Function<JsonNode, T> decode) {
        try {
            return decode.apply(MAPPER.readTree(entry.value()));
        } catch (JsonProcessingException | IllegalArgumentException malformed) {
            LOG.warn("stream_record_malformed", "key", entry.key(), "reason", String.valueOf(malformed.getMessage()));
            return null;
        }
    }

    private static Snapshot snapshot(JsonNode json) {
        List<PersistedVersion> versions = new ArrayList<>();
        // Without its versions a snapshot would say that none has served.
        if (!json.path("versions").isArray()) {
            throw new IllegalArgumentException("versions is not an array");
        }
        for (JsonNode version : json.path("versions")) {
            PersistedVersion persistedVersion = new PersistedVersion(
                    PoolId.of(text(version, "pool")),
                    text(version, "version"),
                    version.path("listed").asBoolean(),
                    number(version, "ageMs"));
            if (isListable(persistedVersion.pool(), persistedVersion.softwareVersion())) {
                versions.add(persistedVersion);
            }
        }
        PersistedVersions persisted =
                new PersistedVersions(number(json, "knownForMs"), number(json, "streamLifetimeMs"), versions);
        return new Snapshot(persisted, number(json, "writtenAtMs"), number(json, "revision"));
    }

    private static Batch batch(JsonNode json) {
        Map<String, List<Long>> keys = new TreeMap<>();
        PoolId pool = PoolId.of(text(json, "pool"));
        json.path("streams").properties().stream()
                .filter(version -> isListable(pool, version.getKey()))
                .forEach(version -> keys.put(version.getKey(), keys(version.getValue())));
        return new Batch(pool, number(json, "writtenAtMs"), number(json, "leftMs"), keys);
    }

    /** Records of earlier releases may contain names that the list of targets no longer accepts, and peers neither. */
    private static boolean isListable(PoolId pool, String version) {
        return WireNames.isValid(pool.name()) && WireNames.isValid(version);
    }

    private static List<Long> keys(JsonNode digits) {
        String text = digits.asText();
        List<Long> keys = new ArrayList<>();
        for (int from = 0; from + KEY_DIGITS <= text.length(); from += KEY_DIGITS) {
            keys.add(HexFormat.fromHexDigitsToLong(text, from, from + KEY_DIGITS));
        }
        return keys;
    }

    private static String text(JsonNode json, String field) {
        JsonNode value = json.path(field);
        if (!value.isTextual()) {
            throw new IllegalArgumentException(field + " is not a text");
        }
        return value.asText();
    }

    private static long number(JsonNode json, String field) {
        JsonNode value = json.path(field);
        if (!value.isIntegralNumber() || !value.canConvertToLong() || value.asLong() < 0) {
            throw new IllegalArgumentException(field + " is not a whole number of 0 or more");
        }
        return value.asLong();
    }
}
