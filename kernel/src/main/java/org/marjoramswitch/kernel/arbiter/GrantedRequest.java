package org.marjoramswitch.kernel.arbiter;

import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.TargetId;

/** Records the charge and the cost estimate of a granted request in flight. */
final class GrantedRequest {
    private final CustomerId customer;
    private final TargetId target;
    private final double estimateTokens;
    private double chargedTokens;

    GrantedRequest(CustomerId customer, TargetId target, double estimateTokens, double chargedTokens) {
        this.customer = customer;
        this.target = target;
        this.estimateTokens = estimateTokens;
        this.chargedTokens = chargedTokens;
    }

    CustomerId customer() {
        return customer;
    }

    TargetId target() {
        return target;
    }

    double estimateTokens() {
        return estimateTokens;
    }

    /** Sets the total charge and returns the change in tokens. */
    double updateCharge(double tokens) {
        double change = tokens - chargedTokens;
        chargedTokens = tokens;
        return change;
    }
}
