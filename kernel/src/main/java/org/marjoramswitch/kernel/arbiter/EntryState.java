package org.marjoramswitch.kernel.arbiter;

import java.util.Map;
import java.util.TreeMap;
import org.marjoramswitch.kernel.model.CustomerId;

/** Holds an arbiter's state of one entry: the requests that it offers and those that it has in flight. */
final class EntryState {
    private final Map<CustomerId, CustomerOffer> offers = new TreeMap<>();
    private final Map<Long, GrantedRequest> granted = new TreeMap<>();
    private final long incarnation;
    private boolean connected = true;
    private int unacknowledgedGrants;

    EntryState(long incarnation) {
        this.incarnation = incarnation;
    }

    Map<CustomerId, CustomerOffer> offers() {
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

    /** Grants sent since the last message from the entry. */
    int unacknowledgedGrants() {
        return unacknowledgedGrants;
    }

    void granted(long sequence, GrantedRequest request) {
        granted.put(sequence, request);
        unacknowledgedGrants++;
    }

    void messageReceived() {
        unacknowledgedGrants = 0;
    }

    /** One customer's requests that wait at the entry. */
    static final class CustomerOffer {
        private int waiting;
        private int urgency;
        private long lastGrant;

        /** @param nextSequence the arbiter's next grant sequence, which places the offer behind the existing ones */
        CustomerOffer(long nextSequence) {
            this.lastGrant = nextSequence;
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

        void urgency(int newUrgency) {
            urgency = newUrgency;
        }

        /**
         * Sequence of the last grant made for this offer, initially the next one at its creation; the least is next.
         */
        long lastGrant() {
            return lastGrant;
        }

        void lastGrant(long sequence) {
            lastGrant = sequence;
        }
    }
}
