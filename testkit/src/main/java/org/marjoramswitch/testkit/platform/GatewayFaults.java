package org.marjoramswitch.testkit.platform;

import java.util.concurrent.atomic.AtomicInteger;

/** Faults currently injected into the gateway. Tests may set them from any thread. */
final class GatewayFaults {
    private static final long WINDOW_MS = 1_000;

    /** Fault that prevents every call from being executed. */
    enum Outage {
        NONE,
        UNAVAILABLE,
        HANG
    }

    private final AtomicInteger responsesToDrop = new AtomicInteger();
    private final AtomicInteger callsToLimit = new AtomicInteger();
    private volatile Outage outage = Outage.NONE;
    private volatile long delayMs;
    private volatile int callsPerSecond = Integer.MAX_VALUE;
    private long windowStartMs;
    private int callsInWindow;

    Outage outage() {
        return outage;
    }

    void outage(Outage value) {
        outage = value;
    }

    long delayMs() {
        return delayMs;
    }

    void delayMs(long value) {
        delayMs = value;
    }

    void dropResponses(int writes) {
        responsesToDrop.set(writes);
    }

    boolean dropsThisResponse() {
        return responsesToDrop.getAndUpdate(left -> Math.max(0, left - 1)) > 0;
    }

    void limitNext(int calls) {
        callsToLimit.set(calls);
    }

    void callsPerSecond(int limit) {
        callsPerSecond = limit;
    }

    synchronized boolean limitsThisCall(long nowMs) {
        if (callsToLimit.getAndUpdate(left -> Math.max(0, left - 1)) > 0) {
            return true;
        }
        if (nowMs - windowStartMs >= WINDOW_MS) {
            windowStartMs = nowMs;
            callsInWindow = 0;
        }
        return ++callsInWindow > callsPerSecond;
    }

    void clear() {
        outage = Outage.NONE;
        delayMs = 0;
        responsesToDrop.set(0);
        callsToLimit.set(0);
        callsPerSecond = Integer.MAX_VALUE;
    }
}
