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
 * <p>Entries offer numbers of waiting requests per customer, not single requests. Whenever a target has a free slot
 * and anything is offered, the backlogged customer with the least virtual counter ({@link FairShares}) gets it; of the
 * entries that offer that customer's requests the one with the most urgent, then the one that has waited longest for a
 * grant, receives the grant, and binds it to one of its requests only then. A grant that finds nothing to bind comes
 * back as declined.
 *
 * <p>All state here is soft. An entry's registration replaces what was known of that entry, so a new arbiter is whole
 * once every entry has registered. Until then it may not know of requests in flight, so it collects registrations for
 * a while before its first grant ({@code openAtMs}); entries use their own freed slots meanwhile. Should two instances
 * hold themselves for the arbiter of a cell, each grants to the entries that registered with it, and the targets' load
 * reports keep them from giving much beyond the slots.
 *
 * <p>Example of a crossing: the entry re-registers while grant 7 is on its way to it. The registration says that 6 was
 * the last grant seen, so grant 7 stays in the books and is neither lost nor counted twice.
 *
 * <p>Cost: a grant is logarithmic in backlogged customers, linear in the entries that offer for the chosen customer
 * and in the cell's targets. Not thread-safe.
 */
public final class Arbiter {
    /**
     * An entry is expected to be heard from once it was sent more grants than this. Fewer are common where a customer
     * is light, and probing after each would cost as much as the grant.
     */
    private static final int UNHEARD_GRANTS = 4;

    private final CellId cell;
    private final KernelOptions options;
    private final PoolSettings pool;
    private final FairShares shares;
    private final long openAtMs;
    private final Map<TargetId, TargetSlots> targets = new TreeMap<>();
    private final Map<InstanceId, EntryState> entries = new TreeMap<>();
    private final Map<CustomerId, Set<InstanceId>> offering = new HashMap<>();
    private final Map<CustomerId, Long> chargesTold = new HashMap<>();
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

    /** @param openAtMs the time of the first grant */
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
        EntryState ledger = entries.get(entry);
        return ledger != null && ledger.connected();
    }

    /** Whether anything is kept of the entry. */
    public boolean isRegistered(InstanceId entry) {
        return entries.containsKey(entry);
    }

    /** Something came from the entry. */
    public void messageReceived(InstanceId entry) {
        EntryState ledger = entries.get(entry);
        if (ledger != null) {
            ledger.heard();
        }
    }

    /** The entries that were sent grants and must be heard from. */
    public List<InstanceId> entriesToProbe() {
        return entries.entrySet().stream()
                .filter(entry -> entry.getValue().connected())
                .filter(entry -> entry.getValue().unheardGrants() > UNHEARD_GRANTS)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Sets the cell's targets. Requests in flight at a target that is no longer in the cell stay accounted for. */
    public void targets(Collection<TargetSettings> settings, Set<TargetId> leaving) {
        Set<TargetId> named = new TreeSet<>();
        for (TargetSettings target : settings) {
            named.add(target.id());
            TargetSlots slots = targets.computeIfAbsent(target.id(), missing -> TargetSlots.of(target));
            slots.settings(target);
            slots.leaving(leaving.contains(target.id()));
        }
        targets.keySet().retainAll(named);
    }

    public void reported(TargetId target, LoadReport report, long nowMs) {
        TargetSlots slots = targets.get(target);
        if (slots != null) {
            slots.reported(report, nowMs);
        }
    }

    /** Takes an entry's whole state in place of what was known of it. */
    public void register(InstanceId entry, long incarnation, PeerMessage.Register register, long nowMs) {
        Map<Long, GrantedRequest> underway = forget(entry, incarnation, register.lastSequence());
        EntryState ledger = new EntryState(incarnation);
        entries.put(entry, ledger);
        register.standings().forEach(standing -> shares.adopt(standing.customer(), standing.aheadTokens()));
        register.holdings().forEach(holding -> hold(ledger, holding, nowMs));
        underway.forEach((sequence, request) -> restore(ledger, sequence, request, nowMs));
        register.offers().forEach(offer -> offer(entry, ledger, offer.customer(), offer.waiting(), offer.urgency()));
    }

    /** The entry is gone or no longer takes this instance for the arbiter. */
    public void unregister(InstanceId entry) {
        EntryState ledger = entries.get(entry);
        if (ledger != null) {
            forget(entry, ledger.incarnation(), Long.MAX_VALUE);
        }
    }

    /**
     * The link to the entry is down or silent. Its offers cannot be granted until it registers anew; its requests in flight go
     * on at their targets, so their slots stay taken.
     */
    public void disconnected(InstanceId entry) {
        EntryState ledger = entries.get(entry);
        if (ledger == null) {
            return;
        }
        ledger.connected(false);
        withdrawOffers(entry, ledger);
    }

    /** The entry is heard again and was asked to register; what it has in flight stays accounted for until it does. */
    public void reconnected(InstanceId entry) {
        EntryState ledger = entries.get(entry);
        if (ledger != null) {
            ledger.connected(true);
        }
    }

    public void demand(InstanceId entry, PeerMessage.Demand demand) {
        EntryState ledger = entries.get(entry);
        if (ledger == null || !ledger.connected()) {
            return;
        }
        offer(entry, ledger, demand.customer(), demand.added(), demand.urgency());
    }

    public void declined(InstanceId entry, long sequence, PeerMessage.DeclineReason reason) {
        EntryState ledger = entries.get(entry);
        GrantedRequest request = ledger == null ? null : ledger.granted().remove(sequence);
        if (request == null) {
            return;
        }
        release(request.target());
        shares.charge(request.customer(), request.recharge(0));
        TargetSlots target = targets.get(request.target());
        if (target != null && reason == PeerMessage.DeclineReason.TARGET_LEAVING) {
            // The entry's list is newer; granting on by the older one would go to and fro until it is read again.
            target.leaving(true);
        }
    }

    public void progress(InstanceId entry, long sequence, long costTokens) {
        EntryState ledger = entries.get(entry);
        GrantedRequest request = ledger == null ? null : ledger.granted().get(sequence);
        if (request == null) {
            return;
        }
        double expected = FairShares.expectedCostTokens(costTokens, request.estimateTokens());
        shares.charge(request.customer(), request.recharge(expected));
    }

    public void ended(InstanceId entry, long sequence, long costTokens, boolean targetFault, long nowMs) {
        EntryState ledger = entries.get(entry);
        GrantedRequest request = ledger == null ? null : ledger.granted().remove(sequence);
        if (request == null) {
            return;
        }
        release(request.target());
        shares.charge(request.customer(), request.recharge(costTokens));
        noteHealth(request.target(), targetFault, nowMs);
        if (!targetFault && costTokens > 0) {
            shares.updateEstimate(request.customer(), costTokens);
        }
    }

    /** Counts what another cell's arbiter charged since its last message. */
    public void charges(PeerMessage.Charges charges) {
        charges.chargedTokens().forEach(shares::chargeElsewhere);
    }

    /**
     * What the other cells' arbiters are to be told now, null where it is not time or nothing changed.
     *
     * <p>A customer is told of only if it was backlogged at the last telling as well. Otherwise the charges of all the
     * time in which it was not would arrive in one lump, after its lift to the floor elsewhere, and hold it back for
     * seconds; the lift forgives them in any case. A message lost with its link loses one interval's charges.
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
            long change = total - chargesTold.getOrDefault(account.customer(), total);
            totals.put(account.customer(), total);
            if (change != 0) {
                changes.put(account.customer(), change);
            }
        }
        chargesTold.clear();
        chargesTold.putAll(totals);
        return changes.isEmpty() ? null : new PeerMessage.Charges(cell, changes, freeSlots(nowMs));
    }

    /** Grants while a target has a free slot and a connected entry offers a request. */
    public void grantFreeSlots(long nowMs, ActionSink sink) {
        if (nowMs < openAtMs) {
            return;
        }
        shares.endAdoption();
        while (true) {
            CustomerAccount next = shares.least();
            TargetSlots target = next == null ? null : freest(nowMs);
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
        EntryState ledger = entryLedger(entry);
        long sequence = nextSequence++;
        double estimate = next.estimateTokens();
        double charge = FairShares.expectedCostTokens(0, estimate);
        long aheadTokens = Math.round(shares.lead(customer));
        TargetId targetId = target.settings().id();
        target.started(nowMs);
        ledger.granted(sequence, new GrantedRequest(customer, targetId, estimate, charge));
        EntryState.Offered offered = ledger.offers().get(customer);
        if (offered != null) {
            offered.lastGrant(sequence);
        }
        offer(entry, ledger, customer, -1, offered == null ? 0 : offered.urgency());
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
                aheadTokens,
                "runnerUp",
                runnerUp == null ? "none" : runnerUp.customer(),
                "targetInFlight",
                target.inFlight())));
    }

    private InstanceId nextEntry(CustomerId customer) {
        InstanceId best = null;
        EntryState.Offered bestOffer = null;
        for (InstanceId entry : offering.getOrDefault(customer, Set.of())) {
            EntryState.Offered offer = entryLedger(entry).offers().get(customer);
            if (offer != null && (bestOffer == null || before(offer, bestOffer))) {
                best = entry;
                bestOffer = offer;
            }
        }
        if (best == null) {
            throw new IllegalStateException("backlogged customer without an offering entry: " + customer);
        }
        return best;
    }

    private static boolean before(EntryState.Offered left, EntryState.Offered right) {
        if (left.urgency() != right.urgency()) {
            return left.urgency() < right.urgency();
        }
        return left.lastGrant() < right.lastGrant();
    }

    private EntryState entryLedger(InstanceId entry) {
        EntryState ledger = entries.get(entry);
        if (ledger == null) {
            throw new IllegalStateException("no ledger of " + entry);
        }
        return ledger;
    }

    private @Nullable TargetSlots freest(long nowMs) {
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

    private void offer(InstanceId entry, EntryState ledger, CustomerId customer, int added, int urgency) {
        EntryState.Offered offered =
                ledger.offers().computeIfAbsent(customer, missing -> new EntryState.Offered(nextSequence));
        int before = offered.waiting();
        offered.waiting(before + added);
        offered.urgency(urgency);
        int change = offered.waiting() - before;
        if (offered.waiting() == 0) {
            dropOffer(entry, ledger, customer);
        } else {
            offering.computeIfAbsent(customer, missing -> new TreeSet<>()).add(entry);
        }
        shares.waiting(customer, shares.account(customer).waiting() + change);
    }

    private void dropOffer(InstanceId entry, EntryState ledger, CustomerId customer) {
        ledger.offers().remove(customer);
        Set<InstanceId> others = offering.get(customer);
        if (others == null) {
            return;
        }
        others.remove(entry);
        if (others.isEmpty()) {
            offering.remove(customer);
        }
    }

    private void withdrawOffers(InstanceId entry, EntryState ledger) {
        for (CustomerId customer : List.copyOf(ledger.offers().keySet())) {
            EntryState.Offered offered = ledger.offers().get(customer);
            int waiting = offered == null ? 0 : offered.waiting();
            dropOffer(entry, ledger, customer);
            shares.waiting(customer, shares.account(customer).waiting() - waiting);
        }
    }

    /** Drops an entry's state and returns its grants later than {@code lastSequence}. */
    private Map<Long, GrantedRequest> forget(InstanceId entry, long incarnation, long lastSequence) {
        EntryState ledger = entries.remove(entry);
        Map<Long, GrantedRequest> underway = new LinkedHashMap<>();
        if (ledger == null) {
            return underway;
        }
        withdrawOffers(entry, ledger);
        // Grants to an earlier incarnation of the entry never start: only later ones of the same can be on their way.
        boolean same = ledger.incarnation() == incarnation;
        ledger.granted().forEach((sequence, request) -> {
            release(request.target());
            if (same && sequence > lastSequence) {
                underway.put(sequence, request);
            }
        });
        return underway;
    }

    private void hold(EntryState ledger, PeerMessage.Holding holding, long nowMs) {
        double estimate = shares.account(holding.customer()).estimateTokens();
        double charge = FairShares.expectedCostTokens(holding.costTokens(), estimate);
        // The standing of the customer already holds this charge, so it is an origin here and not charged again.
        GrantedRequest request = new GrantedRequest(holding.customer(), holding.target(), estimate, charge);
        restore(ledger, -holding.localId(), request, nowMs);
    }

    private void restore(EntryState ledger, long sequence, GrantedRequest request, long nowMs) {
        ledger.granted().put(sequence, request);
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

    private void noteHealth(TargetId target, boolean fault, long nowMs) {
        TargetSlots slots = targets.get(target);
        if (slots == null) {
            return;
        }
        if (fault) {
            slots.health().failed(nowMs);
            return;
        }
        slots.health().succeeded();
    }

    /** The pool's settings that the arbiter was created with. */
    public PoolSettings pool() {
        return pool;
    }
}
