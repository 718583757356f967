package org.marjoramswitch.kernel.fair;

import java.util.Comparator;
import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.ToDoubleFunction;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.model.CustomerId;

/**
 * Decides which customer is served next, by virtual counters.
 *
 * <p>Each customer has a counter: the tokens charged to it, divided by its weight. The backlogged customer with the
 * least counter is served next. This is the published Virtual Token Counter scheduler (Sheng et al., "Fairness in
 * Serving Large Language Models", OSDI 2024) with a different charge: a running request is charged what it has
 * delivered plus the rest that is expected of it, see {@link #expectedCostTokens}.
 *
 * <p>A customer that becomes backlogged is raised to the least counter of those that already are, less a credit:
 * {@value #CREDIT_ESTIMATES} requests of the pool's initial estimate, unless {@link #credit} says otherwise. So idling
 * earns at most the credit, and a newcomer waits for nobody's past. The credit lets a small burst through together:
 * without it, k requests of a light customer were served one for one with a flooding customer's. A counter is never
 * lowered, so a customer that uses its share gains nothing by pausing. Example: A has been served 10,000 tokens while
 * alone and stays backlogged; B arrives with counter 0 and is raised to 9,000 with estimates of 200; it is served alone
 * for 1,000 tokens and from then on both alike.
 *
 * <p>The floor to raise to is the highest that the least backlogged counter has ever been. With the present least, each
 * newcomer would be raised to its predecessor's place less the credit: a stream of newcomers would sink ever deeper and
 * starve a customer that was there before them.
 *
 * <p>The bound on the gap. Let two customers of weight 1 be backlogged over an interval at one arbiter. A customer is
 * granted a slot only while its counter is the least, so at any grant the counters of the two differ by at most what
 * one grant, the later corrections of charges and the credit can add. A charge is corrected by the end of its request by at most
 * E = max(cost, estimate) tokens. With S slots, at most S requests are in flight, but corrections steer the next
 * grants, so what can add up unnoticed is the error of the requests that one customer has in flight at once. With s
 * slots in that customer's hands the counters' gap is at most (s + 1) E, and delivered service differs from a counter
 * by the expected rest, at most s E on either side: the gap in delivered tokens is at most (3 s + 1) E and the
 * credit, with s at most S. This is the worst case, in which every running request of one customer ends at the largest cost and every one of
 * the other's at nothing; docs/MEASUREMENTS.md has the gap that was measured. With several cells, add what the other
 * cells charge between two exchanges: the pool's tokens a second times the age of the counters.
 *
 * <p>Nobody starves: a backlogged customer's counter stands still while it is not served, and every grant to another
 * raises that one's, so after finitely many grants it is the least. Its wait is at most the time that the pool takes
 * to serve the gap's bound to each other backlogged customer.
 *
 * <p>Cost: a change of backlog or counter is logarithmic in the backlogged customers, the choice is the first of a
 * sorted set. Not thread-safe.
 */
public final class FairShares {
    private static final double DEFAULT_WEIGHT = 1.0;
    private static final int CREDIT_ESTIMATES = 5;
    /** The expected rest of a running request is never below this share of its customer's running estimate. */
    private static final double LEAST_REST = 0.5;

    private final Map<CustomerId, CustomerAccount> accounts = new TreeMap<>();
    /** Of equal counters the one charged less goes first: a newcomer lifted to a flooding customer's counter. */
    private final TreeSet<CustomerAccount> backlogged =
            new TreeSet<>(Comparator.comparingDouble(CustomerAccount::counter)
                    .thenComparingDouble(CustomerAccount::chargedTokens)
                    .thenComparing(CustomerAccount::customer));

    private final ToDoubleFunction<CustomerId> weights;
    private final double initialEstimateTokens;
    private double creditTokens;
    private double floor;
    private boolean adopting = true;

    private FairShares(ToDoubleFunction<CustomerId> weights, double initialEstimateTokens) {
        this.weights = weights;
        this.initialEstimateTokens = initialEstimateTokens;
        this.creditTokens = CREDIT_ESTIMATES * initialEstimateTokens;
    }

    /** @param weights a customer's weight, above 0; asked when the customer becomes backlogged */
    public static FairShares create(ToDoubleFunction<CustomerId> weights, double initialEstimateTokens) {
        return new FairShares(weights, initialEstimateTokens);
    }

    /**
     * What a request is charged while it runs: what it delivered, plus the rest of the estimate, but never less than
     * half of the estimate as the rest. A request of estimate 200 that has delivered 190 is charged 290, not 200: that
     * it has come this far shows that it may well be a long one.
     */
    public static double expectedCostTokens(double deliveredTokens, double estimateTokens) {
        return deliveredTokens + Math.max(LEAST_REST * estimateTokens, estimateTokens - deliveredTokens);
    }

    /**
     * The bound on the gap in delivered tokens of two customers of weight 1 backlogged at one arbiter, as the class
     * comment derives it.
     *
     * @param slotsHeld the most slots in one customer's hands
     * @param largestCostTokens the largest cost or estimate of a request
     * @param initialEstimateTokens the pool's, which the credit is counted in
     */
    public static double gapBoundTokens(int slotsHeld, double largestCostTokens, double initialEstimateTokens) {
        return (3.0 * slotsHeld + 1) * largestCostTokens + CREDIT_ESTIMATES * initialEstimateTokens;
    }

    public CustomerAccount account(CustomerId customer) {
        return accounts.computeIfAbsent(customer, this::open);
    }

    public Iterable<CustomerAccount> accounts() {
        return accounts.values();
    }

    /** The highest that the least counter of the backlogged customers has been. */
    public double floor() {
        return floor;
    }

    /**
     * How far below the floor a customer may be that becomes backlogged from now on. Where the work of a few seconds is
     * known, an even share of it serves light customers better than a handful of first estimates.
     */
    public void credit(double tokens) {
        creditTokens = tokens;
    }

    /** Sets how many of a customer's requests wait; a customer that becomes backlogged is raised to the floor less the credit. */
    public void waiting(CustomerId customer, int requests) {
        CustomerAccount account = account(customer);
        if (requests == account.waiting()) {
            return;
        }
        boolean wasBacklogged = account.isBacklogged();
        if (wasBacklogged && requests > 0) {
            account.waiting(requests);
            return;
        }
        if (wasBacklogged) {
            backlogged.remove(account);
            account.waiting(requests);
            noteFloor();
            return;
        }
        account.weight(weightOf(customer));
        if (!account.adopted()) {
            account.raiseTo(floor() - creditTokens);
        }
        account.waiting(requests);
        backlogged.add(account);
        noteFloor();
    }

    /** The backlogged customer to be served next. */
    public @Nullable CustomerAccount least() {
        return backlogged.isEmpty() ? null : backlogged.first();
    }

    /** The one after {@link #least}, for the log. */
    public @Nullable CustomerAccount runnerUp() {
        Iterator<CustomerAccount> inOrder = backlogged.iterator();
        if (!inOrder.hasNext()) {
            return null;
        }
        inOrder.next();
        return inOrder.hasNext() ? inOrder.next() : null;
    }

    /** The backlogged customers, the one to be served next first. */
    public Iterable<CustomerAccount> backloggedInOrder() {
        return backlogged;
    }

    /** Charges tokens served here; negative to take back what was charged too much. */
    public void charge(CustomerId customer, double tokens) {
        CustomerAccount account = account(customer);
        reorder(account, () -> account.chargeHere(tokens));
    }

    /** Counts tokens that another cell of the pool charged. */
    public void chargeElsewhere(CustomerId customer, double tokens) {
        CustomerAccount account = account(customer);
        reorder(account, () -> account.chargeElsewhere(tokens));
    }

    /** How far a customer is ahead of the floor; what an entry keeps for the next arbiter. */
    public double lead(CustomerId customer) {
        return account(customer).counter() - floor();
    }

    /**
     * Takes a standing from an earlier arbiter. Until {@link #endAdoption} standings count from a fixed origin and are
     * not lifted: with the floor as the origin, each customer's place would depend on the order of registrations, and a
     * lift would take from the customer that was owed most. Later ones count from the floor. Of several reports for one
     * customer the highest holds, since counters of waiting customers do not fall.
     */
    public void adopt(CustomerId customer, double aheadTokens) {
        CustomerAccount account = account(customer);
        double position = adopting ? aheadTokens : floor() + aheadTokens;
        if (account.adopted() || !adopting) {
            reorder(account, () -> account.raiseTo(position));
            return;
        }
        account.adopted(true);
        reorder(account, () -> account.placeAt(position));
    }

    /** The first grant is near: from now on a customer that becomes backlogged is lifted to the floor. */
    public void endAdoption() {
        if (!adopting) {
            return;
        }
        adopting = false;
        accounts.values().forEach(account -> account.adopted(false));
    }

    /** A request of the customer ended at this cost. */
    public void updateEstimate(CustomerId customer, double costTokens) {
        account(customer).updateEstimate(costTokens);
    }

    private CustomerAccount open(CustomerId customer) {
        return new CustomerAccount(customer, weightOf(customer), initialEstimateTokens);
    }

    private double weightOf(CustomerId customer) {
        double weight = weights.applyAsDouble(customer);
        return weight > 0 ? weight : DEFAULT_WEIGHT;
    }

    private void noteFloor() {
        if (!backlogged.isEmpty()) {
            floor = Math.max(floor, backlogged.first().counter());
        }
    }

    private void reorder(CustomerAccount account, Runnable change) {
        boolean sorted = backlogged.remove(account);
        change.run();
        if (sorted) {
            backlogged.add(account);
            noteFloor();
        }
    }
}
