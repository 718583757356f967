package org.marjoramswitch.testkit.platform;

/** An entry of the table. Key and value hold one byte per character. */
record StoredEntry(String key, String value, long createRevision, long modRevision, long version, long leaseId) {}
