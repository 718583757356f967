package org.marjoramswitch.daemon.settings;

import java.util.List;

/** The result of reading an instance's settings file. */
public sealed interface LocalSettingsResult {

    /** The file contains valid settings. */
    record Valid(LocalSettings settings) implements LocalSettingsResult {}

    /** The file cannot be read or has faults; the list contains all that were found. */
    record Invalid(List<Fault> faults) implements LocalSettingsResult {}

    /**
     * A fault in the file.
     *
     * @param pointer a JSON pointer to the invalid value; empty for the whole file
     */
    record Fault(String pointer, String reason) {}
}
