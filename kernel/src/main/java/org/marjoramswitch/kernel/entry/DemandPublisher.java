package org.marjoramswitch.kernel.entry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.KernelOptions;
import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.action.ActionSink;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.model.CellId;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.TargetId;

/**
 * Publishes this entry's waiting requests to the arbiters of their pool's cells, with few and small messages.
 *
 * <p>Messages carry the number of a customer's requests that are offered to the arbiter. Both sides decrement it with
 * each grant, so no acknowledgement is needed. A request is first offered to one home cell: the one whose target
 * probably has its prompt prefix cached, otherwise the one that granted the customer's last request. If it still waits
 * after {@code spillAfterMs}, its customer is offered to a second cell, after twice that to four, and so on up to all
 * cells of the pool. A request that is served soon thus costs few messages and links, and one that is not can be
 * granted by any cell that frees a slot. In a pool of 7 cells with 20 ms, a request is offered to 1, 2, 4 and all cells
 * from 0, 20, 40 and 80 ms on.
 *
 * <p>An offer is at most {@code offerLimit} and is topped up when half of it is used, so a deep backlog costs one
 * message per {@code offerLimit / 2} grants. Example with a limit of 16: 40 requests arrive, 16 messages of one request
 * each are sent to the home cell; after 8 grants one message adds 8.
 *
 * <p>The same request may be offered to several cells. The surplus is withdrawn when the customer's queue is empty; a
 * grant already under way is declined, which leaves one slot unused for one round trip.
 */
final class DemandPublisher {
    private final KernelOptions options;
    private final FleetState fleet;
    private final Map<CellId, CellLink> links = new TreeMap<>();

    DemandPublisher(KernelOptions options, FleetState fleet) {
        this.options = options;
        this.fleet = fleet;
    }

    Collection<CellLink> links() {
        return links.values();
    }

    @Nullable
    CellLink linkOrNull(CellId cell) {
        return links.get(cell);
    }

    /** Offers a request that was added to the queue. */
    void requestArrived(PoolQueues pool, CustomerQueue queue, EntryRequest request, long nowMs, ActionSink sink) {
        int covered = totalOffered(pool.pool(), queue.customer());
        if (covered < Math.min(queue.size(), options.offerLimit())) {
            CellLink home = homeLink(pool, request, nowMs);
            if (home != null) {
                add(home, queue, 1, nowMs, sink);
            }
            return;
        }
        boolean mostUrgent =
                queue.size() > 1 && queue.urgency() == request.spec().urgency();
        if (mostUrgent && request.spec().urgency() < org.marjoramswitch.kernel.model.RequestSpec.DEFAULT_URGENCY) {
            sendUrgency(pool.pool(), queue, sink);
        }
    }

    /** Offers waiting customers to more cells, depending on how long their head request has waited. */
    void spill(PoolQueues pool, long nowMs, ActionSink sink) {
        List<CellId> cells = fleet.cells().cells(pool.pool());
        for (CustomerQueue queue : pool.backlogged()) {
            int cellCount = Math.min(cells.size(), cellCount(nowMs - queue.headArrivedAtMs()));
            int origin = cellCount < 2 ? 0 : firstOffered(cells, queue.customer());
            for (int i = 0; i < cellCount && cellCount > 1; i++) {
                CellId cell = cells.get((origin + i) % cells.size());
                topUp(link(cell, nowMs), queue, nowMs, sink);
            }
        }
    }

    /** The number of cells that a request is offered to after this wait: 1, then 2, 4, 8, ... with each doubling. */
    private int cellCount(long waitedMs) {
        long steps = options.spillAfterMs() == 0 ? Integer.MAX_VALUE : waitedMs / options.spillAfterMs();
        return steps >= 1 << 20 ? Integer.MAX_VALUE : Integer.highestOneBit((int) steps) * 2 + (steps == 0 ? 1 : 0);
    }

    private int firstOffered(List<CellId> cells, CustomerId customer) {
        for (int i = 0; i < cells.size(); i++) {
            CellLink link = links.get(cells.get(i));
            if (link != null && link.offered(customer) > 0) {
                return i;
            }
        }
        return 0;
    }

    /** Decrements the customer's offer to this cell after a grant, and tops it up or withdraws the remaining offers. */
    void granted(CellLink link, PoolQueues pool, CustomerId customer, long nowMs, ActionSink sink) {
        link.offered(customer, link.offered(customer) - 1);
        link.markUsed(nowMs);
        pool.recordGrant(customer, link.cell());
        CustomerQueue queue = pool.queue(customer);
        if (queue == null) {
            withdraw(pool.pool(), customer, sink);
            return;
        }
        if (totalOffered(pool.pool(), customer) < queue.size()) {
            topUp(link, queue, nowMs, sink);
        }
    }

    /** Withdraws all offers of a customer that has no waiting requests. */
    void withdraw(PoolId pool, CustomerId customer, ActionSink sink) {
        for (CellId cell : fleet.cells().cells(pool)) {
            CellLink link = links.get(cell);
            int offered = link == null ? 0 : link.offered(customer);
            if (link != null && offered > 0) {
                link.offered(customer, 0);
                send(link, new PeerMessage.Demand(cell, customer, -offered, 0), sink);
            }
        }
    }

    /** The link to a cell's arbiter, created on first use. */
    CellLink link(CellId cell, long nowMs) {
        CellLink link = links.get(cell);
        if (link == null) {
            link = new CellLink(cell);
            link.changeArbiter(fleet.arbiter(cell), nowMs);
            link.markUsed(nowMs);
            links.put(cell, link);
        }
        return link;
    }

    /**
     * Sends to the cell's arbiter. Without one the message is dropped: the next registration carries the complete
     * state.
     */
    void send(CellLink link, PeerMessage message, ActionSink sink) {
        InstanceId arbiter = link.arbiter();
        if (arbiter != null) {
            sink.accept(new Action.SendPeer(arbiter, message));
        }
    }

    /** Registers this entry's complete state for a cell: offers, running requests and standings. */
    void register(CellLink link, PoolQueues pool, Collection<EntryRequest> inFlight, long nowMs, ActionSink sink) {
        List<PeerMessage.Holding> holdings = new ArrayList<>();
        for (EntryRequest request : inFlight) {
            TargetId target = request.target();
            if (target != null) {
                holdings.add(new PeerMessage.Holding(
                        request.spec().requestId(), request.spec().customer(), target, request.costTokens()));
                request.useRegistrationSequence();
            }
        }
        List<PeerMessage.Offer> offers = new ArrayList<>();
        for (CustomerQueue queue : pool.backlogged()) {
            int offered = Math.min(queue.size(), options.offerLimit());
            offers.add(new PeerMessage.Offer(queue.customer(), offered, queue.urgency()));
        }
        List<PeerMessage.Standing> standings = standings(link, offers, holdings);
        link.markUnregistered();
        link.markRegistered();
        link.markUsed(nowMs);
        offers.forEach(offer -> link.offered(offer.customer(), offer.waiting()));
        send(link, new PeerMessage.Register(link.cell(), offers, holdings, standings, link.lastSequence()), sink);
    }

    private List<PeerMessage.Standing> standings(
            CellLink link, List<PeerMessage.Offer> offers, List<PeerMessage.Holding> holdings) {
        Map<CustomerId, PeerMessage.Standing> standings = new TreeMap<>();
        offers.forEach(offer -> addStanding(link, offer.customer(), standings));
        holdings.forEach(holding -> addStanding(link, holding.customer(), standings));
        return List.copyOf(standings.values());
    }

    private static void addStanding(CellLink link, CustomerId customer, Map<CustomerId, PeerMessage.Standing> into) {
        Long leadTokens = link.leads().get(customer);
        if (leadTokens != null) {
            into.put(customer, new PeerMessage.Standing(customer, leadTokens));
        }
    }

    private void add(CellLink link, CustomerQueue queue, int added, long nowMs, ActionSink sink) {
        CustomerId customer = queue.customer();
        link.markUsed(nowMs);
        link.offered(customer, link.offered(customer) + added);
        if (link.isRegistered()) {
            send(link, new PeerMessage.Demand(link.cell(), customer, added, queue.urgency()), sink);
            return;
        }
        PeerMessage.Offer offer = new PeerMessage.Offer(customer, link.offered(customer), queue.urgency());
        link.markRegistered();
        List<PeerMessage.Standing> standings = standings(link, List.of(offer), List.of());
        send(
                link,
                new PeerMessage.Register(link.cell(), List.of(offer), List.of(), standings, link.lastSequence()),
                sink);
    }

    private void topUp(CellLink link, CustomerQueue queue, long nowMs, ActionSink sink) {
        int offered = link.offered(queue.customer());
        int wanted = Math.min(queue.size(), options.offerLimit());
        if (wanted >= 2 * offered && wanted > offered) {
            add(link, queue, wanted - offered, nowMs, sink);
        }
    }

    private void sendUrgency(PoolId pool, CustomerQueue queue, ActionSink sink) {
        for (CellId cell : fleet.cells().cells(pool)) {
            CellLink link = links.get(cell);
            if (link != null && link.offered(queue.customer()) > 0) {
                send(link, new PeerMessage.Demand(cell, queue.customer(), 0, queue.urgency()), sink);
            }
        }
    }

    private @Nullable CellLink homeLink(PoolQueues pool, EntryRequest request, long nowMs) {
        List<CellId> cells = fleet.cells().cells(pool.pool());
        if (cells.isEmpty()) {
            return null;
        }
        TargetId holder = pool.prefixes().probableHolder(request.spec().prefixHash());
        CellId preferred = holder == null ? null : fleet.cells().cellOf(holder);
        CellId cell = preferred != null && cells.contains(preferred)
                ? preferred
                : pool.home(request.spec().customer(), cells);
        return link(cell, nowMs);
    }

    private int totalOffered(PoolId pool, CustomerId customer) {
        int offered = 0;
        for (CellId cell : fleet.cells().cells(pool)) {
            CellLink link = links.get(cell);
            offered += link == null ? 0 : link.offered(customer);
        }
        return offered;
    }
}
