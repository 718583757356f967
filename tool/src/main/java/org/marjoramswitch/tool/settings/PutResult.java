package org.marjoramswitch.tool.settings;

/** Outcome of writing a document. */
public sealed interface PutResult {

    /**
     * The write took effect.
     *
     * @param settledByReading whether the response was lost and the outcome was determined by reading back
     */
    record Written(String changeId, boolean settledByReading) implements PutResult {}

    /** Nothing was or will be written: the stored document is not the version that the operator changed. */
    record Conflict(String expectedChangeId, StoredDocument found) implements PutResult {}

    /** Nothing was written: the key-value store did not accept the call. */
    record Unavailable(String reason) implements PutResult {}

    /** The write was sent, but reading back could not determine whether it took or will take effect. */
    record OutcomeUnknown(String changeId, String reason) implements PutResult {}
}
