package org.marjoramswitch.testkit.platform;

/** Kinds of gateway calls, each counted separately. */
public enum CallKind {
    RANGE("/v3/kv/range", false),
    PUT("/v3/kv/put", true),
    DELETE_RANGE("/v3/kv/deleterange", true),
    TXN("/v3/kv/txn", true),
    LEASE_GRANT("/v3/lease/grant", true),
    LEASE_KEEP_ALIVE("/v3/lease/keepalive", true),
    LEASE_REVOKE("/v3/lease/revoke", true),
    WATCH("/v3/watch", false);

    private final String path;
    private final boolean write;

    CallKind(String path, boolean write) {
        this.path = path;
        this.write = write;
    }

    public String path() {
        return path;
    }

    boolean isWrite() {
        return write;
    }
}
