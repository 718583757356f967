package org.marjoramswitch.tool.settings;

import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.configuration.Draft;
import org.marjoramswitch.kernel.configuration.SettingsKeys;

/** Name of a settings document: {@code <team>/<document>}. */
public record DocumentName(String team, String document) {
    private static final String HISTORY = "history/";

    /** Parses a name; returns null if the text does not name a team and a document. */
    public static @Nullable DocumentName parse(String text) {
        Draft draft = Draft.of(SettingsKeys.DRAFTS + text, "", 0);
        return draft == null ? null : new DocumentName(draft.team(), draft.document());
    }

    /** Returns the key of the draft in the key-value store. */
    public String key() {
        return SettingsKeys.draft(team, document);
    }

    /** Returns the key of the draft's history; outside the drafts' prefix, so that acceptors do not read it. */
    public String historyKey() {
        return HISTORY + team + "/" + document;
    }

    @Override
    public String toString() {
        return team + "/" + document;
    }
}
