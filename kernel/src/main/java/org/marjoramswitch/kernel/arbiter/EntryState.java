package org.marjoramswitch.kernel.arbiter;

import java.util.Map;
import java.util.TreeMap;
import org.marjoramswitch.kernel.model.CustomerId;

/** What an arbiter knows of one entry: the requests that it offers and the ones it has in flight. */
final class EntryState {
    private final Map<CustomerId, Offered> offers = new TreeMap<>();
    private final Map<Long, GrantedRequest> granted = new TreeMap<>();
    private final long incarnation;
    private boolean connected = true;
    private int unheardGrants;

    EntryState(long incarnation) {
        this.incarnation = incarnation;
    }

    Map<CustomerId, Offered> offers() {
        return offers;
    }

    Map<Long, GrantedRequest> granted() {
        return granted;
    }

    long incarnation() {
        return incarnation;
    }

    boolean connected() {
        return connected;
    }

    void connected(boolean isConnected) {
        connected = isConnected;
    }

    /** Grants sent since anything was last heard from the entry. */
    int unheardGrants() {
        return unheardGrants;
    }

    void granted(long sequence, GrantedRequest request) {
        granted.put(sequence, request);
        unheardGrants++;
    }

    void heard() {
        unheardGrants = 0;
    }

    /** Requests of one customer that wait at the entry. */
    static final class Offered {
        private int waiting;
        private int urgency;
        private long lastGrant;

        /** @param joinedAt the next sequence when the offer came, so that it queues behind those already there */
        Offered(long joinedAt) {
            this.lastGrant = joinedAt;
        }

        int waiting() {
            return waiting;
        }

        void waiting(int requests) {
            waiting = Math.max(0, requests);
        }

        int urgency() {
            return urgency;
        }

        void urgency(int mostUrgent) {
            urgency = mostUrgent;
        }

        /** The sequence of the last grant made from this offer, or of its coming; the least is next. */
        long lastGrant() {
            return lastGrant;
        }

        void lastGrant(long sequence) {
            lastGrant = sequence;
        }
    }
}
