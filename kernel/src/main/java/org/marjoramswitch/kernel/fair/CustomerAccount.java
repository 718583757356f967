package org.marjoramswitch.kernel.fair;

import org.marjoramswitch.kernel.model.CustomerId;

/** Tracks one customer's virtual service counter, cost estimate and backlog; see {@link FairShares}. */
public final class CustomerAccount {
    /** Weight of the latest request in the moving average of a customer's cost. */
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

    /** The virtual counter: tokens charged, divided by the weight, plus increases to the floor. */
    public double counter() {
        return counter;
    }

    /** Tokens charged by this cell, without those charged by other cells. */
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

    void raiseTo(double minimum) {
        counter = Math.max(counter, minimum);
    }

    void setCounter(double newCounter) {
        counter = newCounter;
    }

    /** Whether the counter was restored from an earlier arbiter and is not raised at the next backlog. */
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
