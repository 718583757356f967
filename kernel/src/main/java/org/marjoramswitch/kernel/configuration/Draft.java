package org.marjoramswitch.kernel.configuration;

import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.misc.Sha256;

/**
 * A settings document as written by an operator.
 *
 * @param document the document's path below the team's subtree
 * @param modRevision the store revision of the document's last write
 */
public record Draft(String team, String document, String json, long modRevision) {
    private static final Pattern KEY =
            Pattern.compile("settings/([A-Za-z0-9][A-Za-z0-9._-]{0,62})/([A-Za-z0-9][A-Za-z0-9._/-]{0,126})");

    /** Creates the draft stored at a key; null if the key does not name a team and a document. */
    public static @Nullable Draft of(String key, String json, long modRevision) {
        var matcher = KEY.matcher(key);
        if (!matcher.matches()) {
            return null;
        }
        return new Draft(matcher.group(1), matcher.group(2), json, modRevision);
    }

    public DraftVersion version() {
        return new DraftVersion(modRevision, Sha256.hex(json));
    }
}
