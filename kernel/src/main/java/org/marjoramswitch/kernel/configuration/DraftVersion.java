package org.marjoramswitch.kernel.configuration;

/**
 * Identifies one version of a draft. The revision distinguishes two writes of the same text, each of which counts as a
 * change. The hash distinguishes two writes with the same revision, since a store that was restored from a backup
 * assigns revisions again.
 *
 * @param modRevision the store revision of the write
 * @param sha256 lower-case hex of the text as written
 */
public record DraftVersion(long modRevision, String sha256) {}
