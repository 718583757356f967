package org.marjoramswitch.tool.settings;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.platform.KeyValueResult;
import org.marjoramswitch.daemon.platform.KeyValueStore;
import org.marjoramswitch.daemon.platform.KeyValueStore.Entry;
import org.marjoramswitch.kernel.configuration.AcceptedHead;
import org.marjoramswitch.kernel.configuration.SettingsKeys;

/** Reads settings documents and their acceptance state from the key-value store. */
public final class SettingsView {
    private final KeyValueStore store;

    private SettingsView(KeyValueStore store) {
        this.store = store;
    }

    public static SettingsView of(KeyValueStore store) {
        return new SettingsView(store);
    }

    /** Signals that the key-value store did not respond to a read. */
    public static final class UnavailableException extends Exception {
        private static final long serialVersionUID = 1;

        UnavailableException(String reason) {
            super(reason);
        }
    }

    /** Summary of a document for listings. */
    public record Listed(String document, long modRevision, String changeId, int bytes) {}

    public StoredDocument document(DocumentName name) throws UnavailableException {
        return StoredDocument.of(entry(name.key()));
    }

    public History history(DocumentName name) throws UnavailableException {
        Entry entry = entry(name.historyKey());
        return entry == null ? History.EMPTY : History.parse(entry.value());
    }

    /** Returns the drafts by key; an empty {@code team} selects all teams. */
    public Map<String, String> drafts(String team) throws UnavailableException {
        return values(prefix(team));
    }

    /** Returns all values whose keys start with {@code prefix}, by key. */
    public Map<String, String> values(String prefix) throws UnavailableException {
        Map<String, String> values = new TreeMap<>();
        entries(prefix).forEach(entry -> values.put(entry.key(), entry.value()));
        return values;
    }

    public List<Listed> list(String team) throws UnavailableException {
        return entries(prefix(team)).stream()
                .map(entry -> new Listed(
                        entry.key().substring(SettingsKeys.DRAFTS.length()),
                        entry.modRevision(),
                        DocumentJson.changeId(entry.value()),
                        entry.value().length()))
                .toList();
    }

    /** Returns the accepted head; null before the first acceptance. */
    public @Nullable AcceptedHead head() throws UnavailableException {
        Entry entry = entry(SettingsKeys.HEAD);
        return entry == null ? null : AcceptedHead.parse(entry.value());
    }

    /** Returns the accepted content of a document; null if there is none. */
    public @Nullable ObjectNode accepted(DocumentName name) throws UnavailableException {
        Entry entry = entry(SettingsKeys.body(name.team()));
        ObjectNode body = entry == null ? null : DocumentJson.parse(entry.value());
        if (body == null) {
            return null;
        }
        return body.path("documents").path(name.document()).path("content") instanceof ObjectNode content
                ? content
                : null;
    }

    /** Returns the refusals by team, in the JSON that the acceptors wrote. */
    public Map<String, String> refusals() throws UnavailableException {
        Map<String, String> byTeam = new TreeMap<>();
        entries(SettingsKeys.REFUSALS)
                .forEach(entry -> byTeam.put(entry.key().substring(SettingsKeys.REFUSALS.length()), entry.value()));
        return byTeam;
    }

    private static String prefix(String team) {
        return team.isEmpty() ? SettingsKeys.DRAFTS : SettingsKeys.DRAFTS + team + "/";
    }

    private List<Entry> entries(String prefix) throws UnavailableException {
        return valueOf(store.range(prefix).join()).entries();
    }

    private @Nullable Entry entry(String key) throws UnavailableException {
        return valueOf(store.get(key).join());
    }

    private static <T extends @Nullable Object> T valueOf(KeyValueResult<T> result) throws UnavailableException {
        if (result instanceof KeyValueResult.Answered<T> answered) {
            return answered.value();
        }
        throw new UnavailableException(FailureReasons.of(result));
    }
}
