package org.marjoramswitch.daemon.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.networknt.schema.Error;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.marjoramswitch.daemon.settings.LocalSettingsResult.Fault;
import org.marjoramswitch.daemon.settings.LocalSettingsResult.Invalid;
import org.marjoramswitch.daemon.settings.LocalSettingsResult.Valid;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.Member;

/** Reads an instance's settings file and validates it against {@code local-settings.schema.json}. */
public final class LocalSettingsReader {
    private static final String SCHEMA = "local-settings.schema.json";
    private static final String WHOLE_FILE = "";
    private static final String PATTERN = "/pattern";
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private LocalSettingsReader() {}

    /** Reads a file; an invalid result lists every fault found. */
    public static LocalSettingsResult read(Path file) {
        try {
            return parse(Files.readString(file));
        } catch (IOException unreadable) {
            return invalid(WHOLE_FILE, "cannot be read: " + unreadable);
        }
    }

    public static LocalSettingsResult parse(String text) {
        JsonNode root;
        try {
            root = MAPPER.readTree(text);
        } catch (JsonProcessingException malformed) {
            return invalid(WHOLE_FILE, "is not JSON: " + malformed.getOriginalMessage() + lineSuffix(malformed));
        }
        List<Fault> faults = check(root);
        return faults.isEmpty() ? new Valid(settings(root)) : new Invalid(faults);
    }

    private static List<Fault> check(JsonNode root) {
        List<Fault> faults = new ArrayList<>();
        Schema schema = schema();
        for (Error error : schema.validate(root)) {
            faults.add(new Fault(error.getInstanceLocation().toString(), reason(error, schema.getSchemaNode())));
        }
        if (faults.isEmpty() && hasSameAddress(root)) {
            faults.add(new Fault("/peers", "is the same address as /callers"));
        }
        return List.copyOf(faults);
    }

    /** For a pattern mismatch uses the schema's description, which is more readable than the regular expression. */
    private static String reason(Error error, JsonNode schema) {
        String keyword = String.valueOf(error.getSchemaLocation().getFragment());
        if (!keyword.endsWith(PATTERN)) {
            return error.getMessage();
        }
        String parent = keyword.substring(0, keyword.length() - PATTERN.length());
        return "is not " + schema.at(parent + "/description").asText("of the right form");
    }

    private static boolean hasSameAddress(JsonNode root) {
        String peers = root.path("peers").asText();
        return !peers.endsWith(":0") && peers.equals(root.path("callers").asText());
    }

    private static Schema schema() {
        SchemaRegistry registry = SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12);
        try (InputStream text = LocalSettingsReader.class.getResourceAsStream(SCHEMA)) {
            return registry.getSchema(MAPPER.readTree(Objects.requireNonNull(text, SCHEMA)));
        } catch (IOException missing) {
            throw new IllegalStateException("cannot read the schema of the local settings", missing);
        }
    }

    private static LocalSettings settings(JsonNode root) {
        List<HostPort> platform = new ArrayList<>();
        root.path("platform").forEach(address -> platform.add(HostPort.parse(address.asText())));
        return new LocalSettings(
                InstanceId.of(root.path("instance").asText()),
                DataCentreId.of(root.path("dataCentre").asText()),
                HostPort.parse(root.path("callers").asText()),
                HostPort.parse(root.path("peers").asText()),
                List.copyOf(platform),
                root.path("fleetKey").asText(),
                root.path("logLevel").asText("INFO"),
                root.path("drainDeadlineMs").asLong(LocalSettings.DEFAULT_DRAIN_DEADLINE_MS),
                root.path("maxBodyBytes").asLong(LocalSettings.DEFAULT_MAX_BODY_BYTES),
                root.path("maxWaiting").asInt(LocalSettings.DEFAULT_MAX_WAITING),
                root.path("processorMillicores").asInt(Member.UNKNOWN_PROCESSOR),
                root.hasNonNull("recordFile") ? root.path("recordFile").asText() : null);
    }

    private static String lineSuffix(JsonProcessingException malformed) {
        return malformed.getLocation() == null
                ? ""
                : " at line " + malformed.getLocation().getLineNr();
    }

    private static Invalid invalid(String pointer, String reason) {
        return new Invalid(List.of(new Fault(pointer, reason)));
    }
}
