package org.marjoramswitch.kernel.fair;

import org.marjoramswitch.kernel.model.CustomerId;

/** One customer's account in {@link FairShares}. */
public final class CustomerAccount {
    /** Share of the newest request in the running estimate of a customer's cost. */
    private static final double ESTIMATE_GAIN = 0.1;

    private final CustomerId customer;
    private double weight;
    private double counter;
    private double chargedTokens;
    private double estimateTokens;
    private int waiting;
    private boolean adopted;

    CustomerAccount(CustomerId customer, double weight, double estimateTokens) {
        this.customer = customer;
        this.weight = weight;
        this.estimateTokens = estimateTokens;
    }

    public CustomerId customer() {
        return customer;
    }

    /** The virtual counter: tokens charged, divided by the weight, plus lifts. */
    public double counter() {
        return counter;
    }

    /** Tokens charged here, not counting what other cells charged. */
    public double chargedTokens() {
        return chargedTokens;
    }

    /** The expected cost of the customer's next request. */
    public double estimateTokens() {
        return estimateTokens;
    }

    public boolean isBacklogged() {
        return waiting > 0;
    }

    public int waiting() {
        return waiting;
    }

    public double weight() {
        return weight;
    }

    void weight(double newWeight) {
        weight = newWeight;
    }

    void waiting(int requests) {
        waiting = requests;
    }

    void chargeHere(double tokens) {
        chargedTokens += tokens;
        chargeElsewhere(tokens);
    }

    void chargeElsewhere(double tokens) {
        counter += tokens / weight;
    }

    void raiseTo(double least) {
        counter = Math.max(counter, least);
    }

    void placeAt(double position) {
        counter = position;
    }

    /** Whether the position came from an earlier arbiter, so that the next backlog does not lift it. */
    boolean adopted() {
        return adopted;
    }

    void adopted(boolean isAdopted) {
        adopted = isAdopted;
    }

    void updateEstimate(double costTokens) {
        estimateTokens += ESTIMATE_GAIN * (costTokens - estimateTokens);
    }
}
