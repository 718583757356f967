package org.marjoramswitch.tool.demo;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.marjoramswitch.kernel.misc.Sha256;

/** Builds the settings documents of the demo. */
final class DocumentWriter {
    private final ObjectNode root = JsonNodeFactory.instance.objectNode();

    private DocumentWriter() {}

    static DocumentWriter create() {
        return new DocumentWriter();
    }

    /** Adds a pool that charges output tokens only, since the stand-ins count only these by customer for the gap. */
    void enginePool(String name) {
        root.withObject("/pools").putObject(name).put("kind", "model-engine").put("promptTokenCost", 0);
    }

    void servicePool(String name) {
        root.withObject("/pools").putObject(name).put("kind", "plain-service");
    }

    void target(String name, String pool, String address, String dataCentre, int slots) {
        root.withObject("/targets")
                .putObject(name)
                .put("pool", pool)
                .put("address", address)
                .put("dataCentre", dataCentre)
                .put("slots", slots)
                .put("checksFencing", true);
    }

    void customer(String name, String apiKey) {
        root.withObject("/customers").putObject(name).putArray("apiKeysSha256").add(Sha256.hex(apiKey));
    }

    ObjectNode document() {
        return root;
    }
}
