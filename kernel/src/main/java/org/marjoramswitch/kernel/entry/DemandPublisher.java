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
 * Offers this entry's waiting requests to the arbiters of their pool's cells, with few and small messages.
 *
 * <p>An arbiter is told numbers: "so many of this customer's requests wait here for you". The entry counts the same
 * number down as grants come, so neither side needs an answer. A request is offered to one home cell first, the one
 * whose target probably holds its prompt prefix, else the one that granted the customer's last request. If it still waits after {@code spillAfterMs}
 * its customer is offered to a second cell, after twice that to four, and so on up to every cell of the pool: a request
 * that is served soon costs few messages and links, and one that is not can be taken by whichever cell frees a slot
 * first. In a pool of 7 cells with 20 ms, a request is offered to 1, 2, 4 and all cells from 0, 20, 40 and 80 ms on.
 *
 * <p>An offer is at most {@code offerLimit} and is filled up again when half of it is used, so a deep backlog costs one
 * message in {@code offerLimit / 2} grants. Example with a limit of 16: 40 requests arrive, 16 messages of one each
 * reach the home cell and none follow; 8 grants later one message adds 8.
 *
 * <p>The same request may be offered to several cells. The surplus is taken back when the customer's queue is empty; a
 * grant that was under way by then is declined, which costs one round trip of one slot.
 */
final class DemandPublisher {
    private final KernelOptions options;
    private final FleetState plan;
    private final Map<CellId, CellLink> links = new TreeMap<>();

    DemandPublisher(KernelOptions options, FleetState plan) {
        this.options = options;
        this.plan = plan;
    }

    Collection<CellLink> links() {
        return links.values();
    }

    @Nullable
    CellLink linkOrNull(CellId cell) {
        return links.get(cell);
    }

    /** A request joined the queue. */
    void arrived(PoolQueues pool, CustomerQueue queue, EntryRequest request, long nowMs, ActionSink sink) {
        int covered = offeredInAll(pool.pool(), queue.customer());
        if (covered < Math.min(queue.size(), options.offerLimit())) {
            CellLink home = home(pool, request, nowMs);
            if (home != null) {
                add(home, queue, 1, nowMs, sink);
            }
            return;
        }
        boolean mostUrgent =
                queue.size() > 1 && queue.urgency() == request.spec().urgency();
        if (mostUrgent && request.spec().urgency() < org.marjoramswitch.kernel.model.RequestSpec.DEFAULT_URGENCY) {
            tellUrgency(pool.pool(), queue, sink);
        }
    }

    /** Offers the customers that have waited to more cells, the longer they have the more. */
    void spill(PoolQueues pool, long nowMs, ActionSink sink) {
        List<CellId> cells = plan.cells().cells(pool.pool());
        for (CustomerQueue queue : pool.backlogged()) {
            int reach = Math.min(cells.size(), reach(nowMs - queue.headArrivedAtMs()));
            int origin = reach < 2 ? 0 : firstOffered(cells, queue.customer());
            for (int i = 0; i < reach && reach > 1; i++) {
                CellId cell = cells.get((origin + i) % cells.size());
                fill(link(cell, nowMs), queue, nowMs, sink);
            }
        }
    }

    /** To how many cells a request is offered that has waited this long: 1, then 2, 4, 8 ... at each doubling. */
    private int reach(long waitedMs) {
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

    /** A grant of this cell was taken from the customer's offer. */
    void granted(CellLink link, PoolQueues pool, CustomerId customer, long nowMs, ActionSink sink) {
        link.offered(customer, link.offered(customer) - 1);
        link.used(nowMs);
        pool.granted(customer, link.cell());
        CustomerQueue queue = pool.queue(customer);
        if (queue == null) {
            withdraw(pool.pool(), customer, sink);
            return;
        }
        if (offeredInAll(pool.pool(), customer) < queue.size()) {
            fill(link, queue, nowMs, sink);
        }
    }

    /** Nothing of the customer waits any more: takes back what is still offered. */
    void withdraw(PoolId pool, CustomerId customer, ActionSink sink) {
        for (CellId cell : plan.cells().cells(pool)) {
            CellLink link = links.get(cell);
            int offered = link == null ? 0 : link.offered(customer);
            if (link != null && offered > 0) {
                link.offered(customer, 0);
                send(link, new PeerMessage.Demand(cell, customer, -offered, 0), sink);
            }
        }
    }

    /** The link to a cell's arbiter, begun where there is none yet. */
    CellLink link(CellId cell, long nowMs) {
        CellLink link = links.get(cell);
        if (link == null) {
            link = new CellLink(cell);
            link.follow(plan.arbiter(cell), nowMs);
            link.used(nowMs);
            links.put(cell, link);
        }
        return link;
    }

    /** Sends to the cell's arbiter; nothing where there is none, a registration will tell it all. */
    void send(CellLink link, PeerMessage message, ActionSink sink) {
        InstanceId arbiter = link.arbiter();
        if (arbiter != null) {
            sink.accept(new Action.SendPeer(arbiter, message));
        }
    }

    /** Registers this entry's whole state for a cell. */
    void register(CellLink link, PoolQueues pool, Collection<EntryRequest> inFlight, long nowMs, ActionSink sink) {
        List<PeerMessage.Holding> holdings = new ArrayList<>();
        for (EntryRequest request : inFlight) {
            TargetId target = request.target();
            if (target != null) {
                holdings.add(new PeerMessage.Holding(
                        request.spec().requestId(), request.spec().customer(), target, request.costTokens()));
                request.renamed();
            }
        }
        List<PeerMessage.Offer> offers = new ArrayList<>();
        for (CustomerQueue queue : pool.backlogged()) {
            int offered = Math.min(queue.size(), options.offerLimit());
            offers.add(new PeerMessage.Offer(queue.customer(), offered, queue.urgency()));
        }
        List<PeerMessage.Standing> standings = standings(link, offers, holdings);
        link.unregistered();
        link.registeredNow();
        link.used(nowMs);
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
        Long ahead = link.standings().get(customer);
        if (ahead != null) {
            into.put(customer, new PeerMessage.Standing(customer, ahead));
        }
    }

    private void add(CellLink link, CustomerQueue queue, int added, long nowMs, ActionSink sink) {
        CustomerId customer = queue.customer();
        link.used(nowMs);
        link.offered(customer, link.offered(customer) + added);
        if (link.registered()) {
            send(link, new PeerMessage.Demand(link.cell(), customer, added, queue.urgency()), sink);
            return;
        }
        PeerMessage.Offer offer = new PeerMessage.Offer(customer, link.offered(customer), queue.urgency());
        link.registeredNow();
        List<PeerMessage.Standing> standings = standings(link, List.of(offer), List.of());
        send(
                link,
                new PeerMessage.Register(link.cell(), List.of(offer), List.of(), standings, link.lastSequence()),
                sink);
    }

    private void fill(CellLink link, CustomerQueue queue, long nowMs, ActionSink sink) {
        int offered = link.offered(queue.customer());
        int wanted = Math.min(queue.size(), options.offerLimit());
        if (wanted >= 2 * offered && wanted > offered) {
            add(link, queue, wanted - offered, nowMs, sink);
        }
    }

    private void tellUrgency(PoolId pool, CustomerQueue queue, ActionSink sink) {
        for (CellId cell : plan.cells().cells(pool)) {
            CellLink link = links.get(cell);
            if (link != null && link.offered(queue.customer()) > 0) {
                send(link, new PeerMessage.Demand(cell, queue.customer(), 0, queue.urgency()), sink);
            }
        }
    }

    private @Nullable CellLink home(PoolQueues pool, EntryRequest request, long nowMs) {
        List<CellId> cells = plan.cells().cells(pool.pool());
        if (cells.isEmpty()) {
            return null;
        }
        TargetId holder = pool.prefixes().target(request.spec().prefixHash());
        CellId preferred = holder == null ? null : plan.cells().cellOf(holder);
        CellId cell = preferred != null && cells.contains(preferred)
                ? preferred
                : pool.home(request.spec().customer(), cells);
        return link(cell, nowMs);
    }

    private int offeredInAll(PoolId pool, CustomerId customer) {
        int offered = 0;
        for (CellId cell : plan.cells().cells(pool)) {
            CellLink link = links.get(cell);
            offered += link == null ? 0 : link.offered(customer);
        }
        return offered;
    }
}
