package org.marjoramswitch.kernel.entry;

import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.model.CellId;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.InstanceId;

/** Holds this entry's registration state with the arbiter of one cell. */
final class CellLink {
    private final CellId cell;
    private final Map<CustomerId, Integer> offered = new TreeMap<>();
    private final Map<CustomerId, Long> leadTokens = new TreeMap<>();
    private @Nullable InstanceId arbiter;
    private boolean registered;
    private boolean holdingsChanged;
    private boolean successor;
    private long arbiterSinceMs;
    private long lastSequence;
    private long lastUsedMs;
    private long barrierProbe;

    CellLink(CellId cell) {
        this.cell = cell;
    }

    CellId cell() {
        return cell;
    }

    @Nullable
    InstanceId arbiter() {
        return arbiter;
    }

    boolean isRegistered() {
        return registered;
    }

    /** When this entry began to use the current arbiter. */
    long arbiterSinceMs() {
        return arbiterSinceMs;
    }

    /** Whether the current arbiter replaced another one and therefore collects registrations before it grants. */
    boolean isSuccessor() {
        return successor;
    }

    long lastUsedMs() {
        return lastUsedMs;
    }

    void markUsed(long nowMs) {
        lastUsedMs = nowMs;
    }

    /** Switches to another arbiter, which has no registration of this entry yet. */
    void changeArbiter(@Nullable InstanceId newArbiter, long nowMs) {
        successor = arbiter != null;
        arbiter = newArbiter;
        arbiterSinceMs = nowMs;
        lastSequence = 0;
        barrierProbe = 0;
        markUnregistered();
    }

    void markUnregistered() {
        registered = false;
        offered.clear();
    }

    void markRegistered() {
        registered = true;
        holdingsChanged = false;
    }

    /**
     * Whether grants that arrive now may predate this entry's last registration. An arbiter that is used again after an
     * absence may have granted from outdated state. Links preserve order, so the reply to the probe sent before the
     * registration arrives after the last such grant.
     */
    boolean awaitsBarrier() {
        return barrierProbe != 0;
    }

    void setBarrier(long probe) {
        barrierProbe = probe;
    }

    /** Removes the barrier: everything that the arbiter sent before its reply to the probe has arrived. */
    void probeAnswered(long probe) {
        if (probe >= barrierProbe) {
            barrierProbe = 0;
        }
    }

    /** Whether requests were started without a grant since the last registration. */
    boolean holdingsChanged() {
        return holdingsChanged;
    }

    void markHoldingsChanged() {
        holdingsChanged = true;
    }

    long lastSequence() {
        return lastSequence;
    }

    void recordGrant(long sequence) {
        lastSequence = Math.max(lastSequence, sequence);
    }

    /** The number of the customer's requests that are offered to the arbiter and not yet granted. */
    int offered(CustomerId customer) {
        return offered.getOrDefault(customer, 0);
    }

    void offered(CustomerId customer, int requests) {
        if (requests <= 0) {
            offered.remove(customer);
            return;
        }
        offered.put(customer, requests);
    }

    /** Whether this entry is registered and has requests waiting for the arbiter's grants. */
    boolean awaitsGrants() {
        return registered && !offered.isEmpty();
    }

    /** The customer's lead over the floor of the arbiter's counters, as of its last grant; 0 if there was none. */
    long leadTokens(CustomerId customer) {
        return leadTokens.getOrDefault(customer, 0L);
    }

    void leadTokens(CustomerId customer, long tokens) {
        leadTokens.put(customer, tokens);
    }

    /**
     * The leads of all customers that have received a grant, in tokens. A new arbiter restores its counters from them.
     */
    Map<CustomerId, Long> leads() {
        return leadTokens;
    }
}
