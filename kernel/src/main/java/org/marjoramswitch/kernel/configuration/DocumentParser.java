package org.marjoramswitch.kernel.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.Error;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SchemaRegistryConfig;
import com.networknt.schema.SpecificationVersion;
import java.io.InputStream;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import org.marjoramswitch.kernel.error.ErrorType;

/** Parses a draft and validates it against the settings schema, {@code settings-schema.json}. */
final class DocumentParser {
    private static final Schema SCHEMA = loadSchema();

    private DocumentParser() {}

    static Result parse(Draft draft) {
        JsonNode root;
        try {
            root = CanonicalJson.parse(draft.json());
        } catch (JsonProcessingException e) {
            return new Faulty(List.of(fault(draft, "", e.getOriginalMessage())));
        }
        List<SettingsFault> faults =
                SCHEMA.validate(root).stream().map(error -> fault(draft, error)).toList();
        return faults.isEmpty() ? new Parsed(root) : new Faulty(faults);
    }

    private static SettingsFault fault(Draft draft, Error error) {
        String property = error.getProperty();
        String parent = error.getInstanceLocation().toString();
        String pointer = property == null ? parent : parent + "/" + escape(property);
        return fault(draft, pointer, error.getMessage());
    }

    private static SettingsFault fault(Draft draft, String pointer, String detail) {
        return new SettingsFault(draft.team(), draft.document(), pointer, ErrorType.SETTINGS_INVALID, detail);
    }

    static String escape(String name) {
        return name.replace("~", "~0").replace("/", "~1");
    }

    private static Schema loadSchema() {
        // Acceptors compare refusals by text, so the text must not depend on the locale of an instance.
        SchemaRegistryConfig config =
                SchemaRegistryConfig.builder().locale(Locale.ENGLISH).build();
        SchemaRegistry registry = SchemaRegistry.withDefaultDialect(
                SpecificationVersion.DRAFT_2020_12, builder -> builder.schemaRegistryConfig(config));
        InputStream resource = DocumentParser.class.getResourceAsStream("settings-schema.json");
        return registry.getSchema(Objects.requireNonNull(resource));
    }

    /** The result of parsing a draft. */
    sealed interface Result {}

    record Parsed(JsonNode root) implements Result {}

    record Faulty(List<SettingsFault> faults) implements Result {}
}
