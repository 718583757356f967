package org.marjoramswitch.kernel.configuration;

import org.marjoramswitch.kernel.error.ErrorType;

/**
 * A reason why a team's drafts are not accepted.
 *
 * @param document the document's path below the team's subtree; empty if the fault concerns the whole team
 * @param pointer a JSON pointer into the document; empty for the whole document
 * @param detail the cause; for a conflict it names the other documents
 */
public record SettingsFault(String team, String document, String pointer, ErrorType type, String detail) {

    /** The fault on one line, including its location. */
    public String message() {
        return SettingsKeys.draft(team, document) + "#" + pointer + ": " + type.message(detail);
    }
}
