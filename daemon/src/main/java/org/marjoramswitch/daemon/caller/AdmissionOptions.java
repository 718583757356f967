package org.marjoramswitch.daemon.caller;

import java.util.List;
import java.util.function.Consumer;
import org.marjoramswitch.kernel.message.PeerMessage.CustomerTokens;

/**
 * Options of the admission control.
 *
 * @param processorMillicores the instance's processor limit; 0 switches admission control off
 * @param rejectedDemand receives the tokens of rejected requests, for the arbiters; must not block
 */
public record AdmissionOptions(int processorMillicores, Consumer<List<CustomerTokens>> rejectedDemand) {
    /**
     * Instances with more can reject a flood that one customer's callers send, so that the lag check suffices. Those with
     * less spend their whole processor on rejections at about a thousand requests per second.
     */
    private static final int MAX_MILLICORES = 500;

    /** No admission control: a lagging instance rejects every request. */
    public static final AdmissionOptions NONE = new AdmissionOptions(0, rejected -> {});

    /** The options of an instance with this processor limit, 0 if it is unknown. */
    public static AdmissionOptions of(int processorMillicores, Consumer<List<CustomerTokens>> rejectedDemand) {
        return processorMillicores > 0 && processorMillicores < MAX_MILLICORES
                ? new AdmissionOptions(processorMillicores, rejectedDemand)
                : NONE;
    }

    boolean isActive() {
        return processorMillicores > 0;
    }
}
