package org.marjoramswitch.testkit.platform;

/** One change to the table at one revision. A deletion carries only the key and the revision. */
record Change(boolean deleted, StoredEntry entry) {
    long revision() {
        return entry.modRevision();
    }

    static Change put(StoredEntry entry) {
        return new Change(false, entry);
    }

    static Change delete(String key, long revision) {
        return new Change(true, new StoredEntry(key, "", 0, revision, 0, 0));
    }
}
