package org.marjoramswitch.kernel.configuration;

/** Keys of the settings in the key-value store. */
public final class SettingsKeys {
    /** Prefix of the drafts, {@code settings/<team>/<document>}, written by operators. */
    public static final String DRAFTS = "settings/";

    /** Prefix of the accepted settings; written by acceptors only. */
    public static final String ACCEPTED = "accepted/";

    /** The {@link AcceptedHead} of the accepted generation. */
    public static final String HEAD = ACCEPTED + "head";

    /** Prefix of the accepted bodies, {@code accepted/body/<team>}. */
    public static final String BODIES = ACCEPTED + "body/";

    /** Prefix of the refusals, {@code refusals/<team>}; a team without a refusal has no key. */
    public static final String REFUSALS = "refusals/";

    private SettingsKeys() {}

    public static String body(String team) {
        return BODIES + team;
    }

    public static String refusal(String team) {
        return REFUSALS + team;
    }

    public static String draft(String team, String document) {
        return DRAFTS + team + "/" + document;
    }
}
