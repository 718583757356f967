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
 * Selects the customer to serve next by virtual service counters.
 *
 * <p>A customer's counter is the tokens charged to it, divided by its weight. The backlogged customer with the least
 * counter is served next. This is the Virtual Token Counter scheduler (Sheng et al., "Fairness in Serving Large
 * Language Models", OSDI 2024) with a different charge: a running request is charged the tokens that it has delivered
 * plus its expected remaining cost, see {@link #expectedCostTokens}.
 *
 * <p>Credit: a customer that becomes backlogged is raised to the floor less a credit, by default {@value
 * #CREDIT_ESTIMATES} requests of the pool's initial estimate, see {@link #credit}. Idling therefore earns at most the
 * credit, and a new customer does not wait for service that others received earlier. The credit lets a small burst
 * through: without it, the requests of a customer with low demand alternate one for one with those of a customer with
 * high demand. A counter is never lowered, so a customer that uses its share gains nothing by pausing. Example, with an
 * initial estimate of 200: A has been served 10,000 tokens while alone and stays backlogged. B arrives with counter 0
 * and is raised to 9,000. B is served alone for 1,000 tokens, then both are served equally.
 *
 * <p>Floor: the floor is the maximum that the least backlogged counter has ever reached. With the current least counter
 * instead, each new customer would start one credit below the previous one, and a stream of new customers would starve
 * a customer that was backlogged before them.
 *
 * <p>Gap bound: let two customers of weight 1 be backlogged over an interval at one arbiter. A customer is granted a
 * slot only while its counter is the least, so at any grant the two counters differ by at most one grant, the later
 * corrections of charges and the credit. The end of a request corrects its charge by at most E = max(cost, estimate)
 * tokens. With S slots, at most S requests are in flight, but corrections steer the next grants, so only the errors of
 * the requests that one customer has in flight at the same time can accumulate. If that customer holds s slots, the gap
 * between the counters is at most (s + 1) E. Delivered service differs from a counter by the expected remaining cost,
 * at most s E on either side, so the gap in delivered tokens is at most (3 s + 1) E plus the credit, with s at most S.
 * In this worst case, every running request of one customer ends at the maximum cost and every one of the other at
 * zero; docs/MEASUREMENTS.md has measured gaps. With several cells, add the tokens that the other cells charge between
 * two exchanges: the pool's tokens per second times the age of the counters.
 *
 * <p>Starvation: a backlogged customer's counter does not change while it is not served, and every grant raises the
 * counter of the customer served, so after finitely many grants the waiting customer has the least counter. Its wait is
 * at most the time in which the pool serves the gap bound to every other backlogged customer.
 *
 * <p>Cost: a change of backlog or counter is logarithmic in the backlogged customers; the choice is the first element
 * of a sorted set. Not thread-safe.
 */
public final class FairShares {
    private static final double DEFAULT_WEIGHT = 1.0;
    private static final int CREDIT_ESTIMATES = 5;
    /** Minimum expected remaining cost of a running request, as a share of its customer's cost estimate. */
    private static final double MIN_REMAINING_SHARE = 0.5;

    private final Map<CustomerId, CustomerAccount> accounts = new TreeMap<>();
    /** Ties go to the customer charged less, such as a new one raised to the counter of one with high demand. */
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

    /** @param weights returns a customer's weight, above 0; read each time the customer becomes backlogged */
    public static FairShares create(ToDoubleFunction<CustomerId> weights, double initialEstimateTokens) {
        return new FairShares(weights, initialEstimateTokens);
    }

    /**
     * Returns the charge of a running request: the tokens delivered plus the remaining estimate, which is at least half
     * of the estimate. A request with estimate 200 that has delivered 190 tokens is charged 290, not 200, since a
     * request that gets this far is likely to be long.
     */
    public static double expectedCostTokens(double deliveredTokens, double estimateTokens) {
        return deliveredTokens + Math.max(MIN_REMAINING_SHARE * estimateTokens, estimateTokens - deliveredTokens);
    }

    /**
     * Returns the bound on the gap in delivered tokens between two customers of weight 1 that are backlogged at one
     * arbiter, see the class comment.
     *
     * @param slotsHeld maximum slots held by one customer
     * @param largestCostTokens maximum cost or estimate of a request
     * @param initialEstimateTokens the pool's initial estimate, the unit of the credit
     */
    public static double gapBoundTokens(int slotsHeld, double largestCostTokens, double initialEstimateTokens) {
        return (3.0 * slotsHeld + 1) * largestCostTokens + CREDIT_ESTIMATES * initialEstimateTokens;
    }

    public CustomerAccount account(CustomerId customer) {
        return accounts.computeIfAbsent(customer, this::createAccount);
    }

    public Iterable<CustomerAccount> accounts() {
        return accounts.values();
    }

    /** Returns the maximum that the least counter of the backlogged customers has reached. */
    public double floor() {
        return floor;
    }

    /**
     * Sets how far below the floor a customer may start that becomes backlogged from now on. If the work of a few
     * seconds is known, an even share of it serves customers with low demand better than the default of a few initial
     * estimates.
     */
    public void credit(double tokens) {
        creditTokens = tokens;
    }

    /**
     * Sets the number of a customer's waiting requests; one that becomes backlogged is raised to the floor less the
     * credit.
     */
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
            updateFloor();
            return;
        }
        account.weight(weightOf(customer));
        if (!account.adopted()) {
            account.raiseTo(floor() - creditTokens);
        }
        account.waiting(requests);
        backlogged.add(account);
        updateFloor();
    }

    /** Returns the backlogged customer to serve next, null if none is backlogged. */
    public @Nullable CustomerAccount least() {
        return backlogged.isEmpty() ? null : backlogged.first();
    }

    /** Returns the customer after {@link #least}, null if there is none; for the decision log. */
    public @Nullable CustomerAccount runnerUp() {
        Iterator<CustomerAccount> inOrder = backlogged.iterator();
        if (!inOrder.hasNext()) {
            return null;
        }
        inOrder.next();
        return inOrder.hasNext() ? inOrder.next() : null;
    }

    /** Returns the backlogged customers in the order of their counters, the one to serve next first. */
    public Iterable<CustomerAccount> backloggedInOrder() {
        return backlogged;
    }

    /** Charges tokens granted by this cell; a negative number corrects an earlier charge. */
    public void charge(CustomerId customer, double tokens) {
        CustomerAccount account = account(customer);
        reorder(account, () -> account.chargeHere(tokens));
    }

    /** Adds tokens that another cell of the pool charged. */
    public void chargeElsewhere(CustomerId customer, double tokens) {
        CustomerAccount account = account(customer);
        reorder(account, () -> account.chargeElsewhere(tokens));
    }

    /** Returns a customer's lead over the floor in tokens, which entries keep for the next arbiter. */
    public double lead(CustomerId customer) {
        return account(customer).counter() - floor();
    }

    /**
     * Restores a customer's lead under an earlier arbiter. Until {@link #endAdoption}, leads are relative to a fixed
     * origin and the counters are not raised to the floor: relative to the floor, each counter would depend on the
     * order of registrations, and raising it would penalise the customer that is owed most service. Later leads are
     * relative to the floor. Of several reports for one customer the highest applies, since counters of waiting
     * customers do not fall.
     */
    public void adopt(CustomerId customer, double leadTokens) {
        CustomerAccount account = account(customer);
        double counter = adopting ? leadTokens : floor() + leadTokens;
        if (account.adopted() || !adopting) {
            reorder(account, () -> account.raiseTo(counter));
            return;
        }
        account.adopted(true);
        reorder(account, () -> account.setCounter(counter));
    }

    /** Ends the adoption of leads before the first grant; from now on a customer that becomes backlogged is raised. */
    public void endAdoption() {
        if (!adopting) {
            return;
        }
        adopting = false;
        accounts.values().forEach(account -> account.adopted(false));
    }

    /** Updates the customer's cost estimate with the cost of an ended request. */
    public void updateEstimate(CustomerId customer, double costTokens) {
        account(customer).updateEstimate(costTokens);
    }

    private CustomerAccount createAccount(CustomerId customer) {
        return new CustomerAccount(customer, weightOf(customer), initialEstimateTokens);
    }

    private double weightOf(CustomerId customer) {
        double weight = weights.applyAsDouble(customer);
        return weight > 0 ? weight : DEFAULT_WEIGHT;
    }

    private void updateFloor() {
        if (!backlogged.isEmpty()) {
            floor = Math.max(floor, backlogged.first().counter());
        }
    }

    private void reorder(CustomerAccount account, Runnable change) {
        boolean wasBacklogged = backlogged.remove(account);
        change.run();
        if (wasBacklogged) {
            backlogged.add(account);
            updateFloor();
        }
    }
}
