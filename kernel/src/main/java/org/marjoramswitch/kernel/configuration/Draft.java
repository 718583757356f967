package org.marjoramswitch.kernel.configuration;

import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.misc.Sha256;

/**
 * One document as an operator wrote it.
 *
 * @param document its path below the team's subtree
 * @param modRevision the revision of its last write in the platform's service
 */
public record Draft(String team, String document, String json, long modRevision) {
    private static final Pattern KEY =
            Pattern.compile("settings/([A-Za-z0-9][A-Za-z0-9._-]{0,62})/([A-Za-z0-9][A-Za-z0-9._/-]{0,126})");

    /** The draft at a key of the platform's service; null where the key does not name a team and a document. */
    public static @Nullable Draft of(String key, String json, long modRevision) {
        var matcher = KEY.matcher(key);
        if (!matcher.matches()) {
            return null;
        }
        return new Draft(matcher.group(1), matcher.group(2), json, modRevision);
    }

    /** What tells this draft from every other at its place. */
    public DraftVersion version() {
        return new DraftVersion(modRevision, Sha256.hex(json));
    }
}
