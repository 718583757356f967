package org.marjoramswitch.tool.settings;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.platform.KeyValueStore;

/**
 * A draft as stored in the key-value store.
 *
 * @param changeId id of the change that wrote it; empty if it was written without one
 * @param modRevision revision of the last modification; 0 if there is no draft
 */
public record StoredDocument(String json, String changeId, long modRevision) {
    static final StoredDocument ABSENT = new StoredDocument("", "", 0);

    static StoredDocument of(KeyValueStore.@Nullable Entry entry) {
        if (entry == null) {
            return ABSENT;
        }
        return new StoredDocument(entry.value(), DocumentJson.changeId(entry.value()), entry.modRevision());
    }

    /** Returns the document's JSON; null if there is none or it is not a JSON object. */
    public @Nullable ObjectNode content() {
        return DocumentJson.parse(json);
    }

    public boolean exists() {
        return modRevision > 0;
    }
}
