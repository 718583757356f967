package org.marjoramswitch.kernel.arbiter;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.ToDoubleFunction;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.KernelOptions;
import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.action.ActionSink;
import org.marjoramswitch.kernel.action.Decision;
import org.marjoramswitch.kernel.capacity.PoolFaultRate;
import org.marjoramswitch.kernel.capacity.TargetSlots;
import org.marjoramswitch.kernel.fair.CustomerAccount;
import org.marjoramswitch.kernel.fair.FairShares;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.model.CellId;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.LoadReport;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.settings.PoolSettings;
import org.marjoramswitch.kernel.settings.TargetSettings;

/**
 * Grants the slots of one cell's targets to the requests that entries offer.
 *
 * <p>Entries offer counts of waiting requests per customer, not single requests. A free slot goes to the backlogged
 * customer with the least virtual counter ({@link FairShares}). Of the entries that offer that customer's requests, the
 * one with the most urgent request receives the grant; ties go to the one that has waited longest for a grant. The
 * entry binds the grant to one of its requests on receipt and declines it if none is waiting.
 *
 * <p>State: all state is soft. An entry's registration replaces the state held for that entry, so a new arbiter's state
 * is complete once every entry has registered. Until then it may not know all requests in flight, so it collects
 * registrations for a while before its first grant ({@code openAtMs}); meanwhile, entries reuse their own freed slots.
 * If two instances both act as the arbiter of a cell, each grants to the entries that registered with it, and the
 * targets' load reports limit how far the grants exceed the slots.
 *
 * <p>Edge cases: if an entry re-registers while grant 7 is in transit, the registration names 6 as the last grant
 * received, so grant 7 stays accounted for and is neither lost nor counted twice.
 *
 * <p>Cost: a grant is logarithmic in the backlogged customers and linear in the entries that offer requests of the
 * chosen customer and in the cell's targets. Not thread-safe.
 */
public final class Arbiter {
    /**
     * An entry that was sent more grants than this without sending any message is probed. Fewer are common with
     * customers of low demand, and a probe after each grant would cost as much as the grant.
     */
    private static final int MAX_UNACKNOWLEDGED_GRANTS = 4;

    private final CellId cell;
    private final KernelOptions options;
    private final PoolSettings pool;
    private final FairShares shares;
    private final long openAtMs;
    private final PoolFaultRate faultRate = PoolFaultRate.create();
    private final Map<TargetId, TargetSlots> targets = new TreeMap<>();
    private final Map<InstanceId, EntryState> entries = new TreeMap<>();
    private final Map<CustomerId, Set<InstanceId>> offeringEntries = new HashMap<>();
    private final Map<CustomerId, Long> lastChargeTotals = new HashMap<>();
    private long nextSequence = 1;
    private long nextChargesAtMs;

    private Arbiter(
            CellId cell,
            PoolSettings pool,
            ToDoubleFunction<CustomerId> weights,
            KernelOptions options,
            long openAtMs) {
        this.cell = cell;
        this.pool = pool;
        this.options = options;
        this.openAtMs = openAtMs;
        this.shares = FairShares.create(weights, pool.initialEstimateTokens());
    }

    /** @param openAtMs the earliest time of a grant */
    public static Arbiter create(
            CellId cell,
            PoolSettings pool,
            ToDoubleFunction<CustomerId> weights,
            KernelOptions options,
            long openAtMs) {
        return new Arbiter(cell, pool, weights, options, openAtMs);
    }

    public CellId cell() {
        return cell;
    }

    /** Whether any entry is registered. */
    public boolean hasEntries() {
        return !entries.isEmpty();
    }

    /** Whether the entry is registered and its offers may be granted. */
    public boolean isConnected(InstanceId entry) {
        EntryState state = entries.get(entry);
        return state != null && state.connected();
    }

    /** Whether the arbiter holds state of the entry, connected or not. */
    public boolean isRegistered(InstanceId entry) {
        return entries.containsKey(entry);
    }

    /** Records that a message arrived from the entry, which acknowledges all grants sent to it. */
    public void messageReceived(InstanceId entry) {
        EntryState state = entries.get(entry);
        if (state != null) {
            state.messageReceived();
        }
    }

    /** The connected entries with more than {@value #MAX_UNACKNOWLEDGED_GRANTS} unacknowledged grants. */
    public List<InstanceId> entriesToProbe() {
        return entries.entrySet().stream()
                .filter(entry -> entry.getValue().connected())
                .filter(entry -> entry.getValue().unacknowledgedGrants() > MAX_UNACKNOWLEDGED_GRANTS)
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Sets the cell's targets. Requests in flight at a target that has left the cell stay accounted for, since it may be
     * listed again before they end.
     */
    public void targets(Collection<TargetSettings> settings, Set<TargetId> leaving) {
        Set<TargetId> named = new TreeSet<>();
        for (TargetSettings target : settings) {
            named.add(target.id());
            TargetSlots slots = targets.computeIfAbsent(target.id(), missing -> TargetSlots.of(target, faultRate));
            slots.settings(target);
            slots.leaving(leaving.contains(target.id()));
        }
        targets.entrySet().removeIf(known -> {
            boolean left = !named.contains(known.getKey());
            if (left) {
                known.getValue().leaving(true);
            }
            return left && known.getValue().inFlight() == 0;
        });
    }

    /** Applies a target's load report. */
    public void reported(TargetId target, LoadReport report, long nowMs) {
        TargetSlots slots = targets.get(target);
        if (slots != null) {
            slots.reported(report, nowMs);
        }
    }

    /** Replaces all state held for the entry, except grants that are in transit to it. */
    public void register(InstanceId entry, long incarnation, PeerMessage.Register register, long nowMs) {
        Map<Long, GrantedRequest> inTransit = removeEntry(entry, incarnation, register.lastSequence());
        EntryState state = new EntryState(incarnation);
        entries.put(entry, state);
        register.standings().forEach(standing -> shares.adopt(standing.customer(), standing.aheadTokens()));
        register.holdings().forEach(holding -> addHolding(state, holding, nowMs));
        inTransit.forEach((sequence, request) -> restore(state, sequence, request, nowMs));
        register.offers().forEach(offer -> offer(entry, state, offer.customer(), offer.waiting(), offer.urgency()));
    }

    /** Removes an entry that is gone or no longer uses this instance as the arbiter. */
    public void unregister(InstanceId entry) {
        EntryState state = entries.get(entry);
        if (state != null) {
            removeEntry(entry, state.incarnation(), Long.MAX_VALUE);
        }
    }

    /**
     * Marks the link to the entry as down or silent. Its offers are withdrawn until it registers again. Its requests in
     * flight continue at their targets, so their slots stay taken.
     */
    public void disconnected(InstanceId entry) {
        EntryState state = entries.get(entry);
        if (state == null) {
            return;
        }
        state.connected(false);
        withdrawOffers(entry, state);
    }

    /** Marks the entry as connected again. Its requests in flight stay accounted for until it re-registers. */
    public void reconnected(InstanceId entry) {
        EntryState state = entries.get(entry);
        if (state != null) {
            state.connected(true);
        }
    }

    /** Applies a change of the entry's offer for one customer. Ignored if the entry is not connected. */
    public void demand(InstanceId entry, PeerMessage.Demand demand) {
        EntryState state = entries.get(entry);
        if (state == null || !state.connected()) {
            return;
        }
        offer(entry, state, demand.customer(), demand.added(), demand.urgency());
    }

    /** Releases the slot of a grant that the entry returned, and refunds its charge. */
    public void declined(InstanceId entry, long sequence, PeerMessage.DeclineReason reason) {
        EntryState state = entries.get(entry);
        GrantedRequest request = state == null ? null : state.granted().remove(sequence);
        if (request == null) {
            return;
        }
        release(request.target());
        shares.charge(request.customer(), request.updateCharge(0));
        TargetSlots target = targets.get(request.target());
        if (target != null && reason == PeerMessage.DeclineReason.TARGET_LEAVING) {
            // The entry's target list is newer. Without this, grants and declines would alternate until this instance
            // reads the list again.
            target.leaving(true);
        }
    }

    /** Updates the charge of a running request from its cost so far and its estimate. */
    public void progress(InstanceId entry, long sequence, long costTokens) {
        EntryState state = entries.get(entry);
        GrantedRequest request = state == null ? null : state.granted().get(sequence);
        if (request == null) {
            return;
        }
        double expected = FairShares.expectedCostTokens(costTokens, request.estimateTokens());
        shares.charge(request.customer(), request.updateCharge(expected));
    }

    /**
     * Releases the slot of an ended attempt, and updates its charge, the customer's cost estimate and the target's
     * health.
     */
    public void attemptEnded(InstanceId entry, long sequence, long costTokens, boolean targetFault, long nowMs) {
        EntryState state = entries.get(entry);
        GrantedRequest request = state == null ? null : state.granted().remove(sequence);
        if (request == null) {
            return;
        }
        release(request.target());
        shares.charge(request.customer(), request.updateCharge(costTokens));
        recordHealth(request.target(), targetFault, nowMs);
        if (!targetFault && costTokens > 0) {
            shares.updateEstimate(request.customer(), costTokens);
        }
    }

    /** Adds the tokens that another cell's arbiter charged since its last message. */
    public void charges(PeerMessage.Charges charges) {
        charges.chargedTokens().forEach(shares::chargeElsewhere);
    }

    /**
     * Returns the charges to send to the arbiters of the pool's other cells, or null if the interval has not elapsed or
     * nothing changed.
     *
     * <p>Includes only customers that were also backlogged at the previous call. Otherwise the charges of the whole
     * time without a backlog would arrive at once, after the customer was raised to the floor at the other cells, and
     * delay it for seconds; raising it to the floor cancels these charges in any case. A message lost with its link
     * loses the charges of one interval.
     */
    public PeerMessage.@Nullable Charges chargesToSend(long nowMs) {
        if (nowMs < nextChargesAtMs) {
            return null;
        }
        nextChargesAtMs = nowMs + options.chargesIntervalMs();
        Map<CustomerId, Long> totals = new HashMap<>();
        Map<CustomerId, Long> changes = new LinkedHashMap<>();
        for (CustomerAccount account : shares.backloggedInOrder()) {
            long total = Math.round(account.chargedTokens());
            long change = total - lastChargeTotals.getOrDefault(account.customer(), total);
            totals.put(account.customer(), total);
            if (change != 0) {
                changes.put(account.customer(), change);
            }
        }
        lastChargeTotals.clear();
        lastChargeTotals.putAll(totals);
        return changes.isEmpty() ? null : new PeerMessage.Charges(cell, changes, freeSlots(nowMs));
    }

    /** Grants slots until no target has a free slot or no connected entry offers a request. */
    public void grantFreeSlots(long nowMs, ActionSink sink) {
        if (nowMs < openAtMs) {
            return;
        }
        shares.endAdoption();
        while (true) {
            CustomerAccount next = shares.least();
            TargetSlots target = next == null ? null : leastLoadedFree(nowMs);
            if (next == null || target == null) {
                return;
            }
            grant(next, target, nowMs, sink);
        }
    }

    private void grant(CustomerAccount next, TargetSlots target, long nowMs, ActionSink sink) {
        CustomerId customer = next.customer();
        CustomerAccount runnerUp = shares.runnerUp();
        InstanceId entry = nextEntry(customer);
        EntryState state = entryState(entry);
        long sequence = nextSequence++;
        double estimate = next.estimateTokens();
        double charge = FairShares.expectedCostTokens(0, estimate);
        long leadTokens = Math.round(shares.lead(customer));
        TargetId targetId = target.settings().id();
        target.started(nowMs);
        state.granted(sequence, new GrantedRequest(customer, targetId, estimate, charge));
        EntryState.CustomerOffer offered = state.offers().get(customer);
        if (offered != null) {
            offered.lastGrant(sequence);
        }
        offer(entry, state, customer, -1, offered == null ? 0 : offered.urgency());
        shares.charge(customer, charge);
        sink.accept(new Action.SendPeer(
                entry, new PeerMessage.Grant(cell, sequence, customer, targetId, Math.round(shares.lead(customer)))));
        sink.accept(new Action.Decided(Decision.of(
                "grant",
                "cell",
                cell,
                "sequence",
                sequence,
                "customer",
                customer,
                "entry",
                entry,
                "target",
                targetId,
                "reason",
                "least_counter",
                "aheadTokens",
                leadTokens,
                "runnerUp",
                runnerUp == null ? "none" : runnerUp.customer(),
                "targetInFlight",
                target.inFlight())));
    }

    private InstanceId nextEntry(CustomerId customer) {
        InstanceId best = null;
        EntryState.CustomerOffer bestOffer = null;
        for (InstanceId entry : offeringEntries.getOrDefault(customer, Set.of())) {
            EntryState.CustomerOffer offer = entryState(entry).offers().get(customer);
            if (offer != null && (bestOffer == null || precedes(offer, bestOffer))) {
                best = entry;
                bestOffer = offer;
            }
        }
        if (best == null) {
            throw new IllegalStateException("backlogged customer without an offering entry: " + customer);
        }
        return best;
    }

    private static boolean precedes(EntryState.CustomerOffer left, EntryState.CustomerOffer right) {
        if (left.urgency() != right.urgency()) {
            return left.urgency() < right.urgency();
        }
        return left.lastGrant() < right.lastGrant();
    }

    private EntryState entryState(InstanceId entry) {
        EntryState state = entries.get(entry);
        if (state == null) {
            throw new IllegalStateException("no state of entry " + entry);
        }
        return state;
    }

    private @Nullable TargetSlots leastLoadedFree(long nowMs) {
        TargetSlots best = null;
        for (TargetSlots target : targets.values()) {
            boolean free = target.free(options.admitAhead(), nowMs) > 0;
            if (free && (best == null || target.load() < best.load())) {
                best = target;
            }
        }
        return best;
    }

    private int freeSlots(long nowMs) {
        return targets.values().stream()
                .mapToInt(target -> target.free(0, nowMs))
                .sum();
    }

    private void offer(InstanceId entry, EntryState state, CustomerId customer, int added, int urgency) {
        EntryState.CustomerOffer offered =
                state.offers().computeIfAbsent(customer, missing -> new EntryState.CustomerOffer(nextSequence));
        int before = offered.waiting();
        offered.waiting(before + added);
        offered.urgency(urgency);
        int change = offered.waiting() - before;
        if (offered.waiting() == 0) {
            dropOffer(entry, state, customer);
        } else {
            offeringEntries
                    .computeIfAbsent(customer, missing -> new TreeSet<>())
                    .add(entry);
        }
        shares.waiting(customer, shares.account(customer).waiting() + change);
    }

    private void dropOffer(InstanceId entry, EntryState state, CustomerId customer) {
        state.offers().remove(customer);
        Set<InstanceId> others = offeringEntries.get(customer);
        if (others == null) {
            return;
        }
        others.remove(entry);
        if (others.isEmpty()) {
            offeringEntries.remove(customer);
        }
    }

    private void withdrawOffers(InstanceId entry, EntryState state) {
        for (CustomerId customer : List.copyOf(state.offers().keySet())) {
            EntryState.CustomerOffer offered = state.offers().get(customer);
            int waiting = offered == null ? 0 : offered.waiting();
            dropOffer(entry, state, customer);
            shares.waiting(customer, shares.account(customer).waiting() - waiting);
        }
    }

    /** Removes an entry's state and returns its grants later than {@code lastSequence}. */
    private Map<Long, GrantedRequest> removeEntry(InstanceId entry, long incarnation, long lastSequence) {
        EntryState state = entries.remove(entry);
        Map<Long, GrantedRequest> inTransit = new LinkedHashMap<>();
        if (state == null) {
            return inTransit;
        }
        withdrawOffers(entry, state);
        // Grants to an earlier incarnation never start, so only grants to the current one can be in transit.
        boolean sameIncarnation = state.incarnation() == incarnation;
        state.granted().forEach((sequence, request) -> {
            release(request.target());
            if (sameIncarnation && sequence > lastSequence) {
                inTransit.put(sequence, request);
            }
        });
        return inTransit;
    }

    private void addHolding(EntryState state, PeerMessage.Holding holding, long nowMs) {
        double estimate = shares.account(holding.customer()).estimateTokens();
        double charge = FairShares.expectedCostTokens(holding.costTokens(), estimate);
        // The customer's standing already includes this charge, so it is only recorded here and not charged again.
        GrantedRequest request = new GrantedRequest(holding.customer(), holding.target(), estimate, charge);
        restore(state, -holding.localId(), request, nowMs);
    }

    private void restore(EntryState state, long sequence, GrantedRequest request, long nowMs) {
        state.granted().put(sequence, request);
        TargetSlots slots = targets.get(request.target());
        if (slots != null) {
            slots.started(nowMs);
        }
    }

    private void release(TargetId target) {
        TargetSlots slots = targets.get(target);
        if (slots != null) {
            slots.ended();
        }
    }

    private void recordHealth(TargetId target, boolean fault, long nowMs) {
        TargetSlots slots = targets.get(target);
        if (slots == null) {
            return;
        }
        if (fault) {
            slots.health().failed(nowMs);
            return;
        }
        slots.health().succeeded(nowMs);
    }

    /** Returns the pool settings that the arbiter was created with. */
    public PoolSettings pool() {
        return pool;
    }
}
