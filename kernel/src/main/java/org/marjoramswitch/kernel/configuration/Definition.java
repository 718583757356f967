package org.marjoramswitch.kernel.configuration;

import java.util.Comparator;

/**
 * A definition of a name in a document.
 *
 * @param pointer a JSON pointer to the definition in the document
 */
record Definition(Name name, String team, String document, String pointer) {

    /** A name that may be defined only once in the whole tree. */
    record Name(Kind kind, String text) implements Comparable<Name> {
        private static final Comparator<Name> ORDER =
                Comparator.comparing(Name::kind).thenComparing(Name::text);

        @Override
        public int compareTo(Name other) {
            return ORDER.compare(this, other);
        }

        @Override
        public String toString() {
            return kind.label + " " + text;
        }
    }

    /** The namespace of a name. */
    enum Kind {
        CUSTOMER("customer"),
        POOL("pool"),
        TARGET("target"),
        API_KEY("API key hash"),
        TEAM_DEFAULTS("defaults of team");

        private final String label;

        Kind(String label) {
            this.label = label;
        }
    }
}
