package org.marjoramswitch.testkit.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import org.marjoramswitch.kernel.InstanceKernel;
import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.event.Event;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.message.PeerMessage.PlacementEnd;
import org.marjoramswitch.kernel.model.CellId;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.Member;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.PromptPart;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.settings.EngineMemory;
import org.marjoramswitch.kernel.settings.FleetSettings;
import org.marjoramswitch.kernel.settings.PoolSettings;
import org.marjoramswitch.kernel.settings.TargetSettings;

/**
 * Benchmark of the processor time that the arbiter of placed requests spends per request, from the placement request to
 * the end, and of its longest decision. Runs the real kernel in virtual time with engines that take a fixed time per
 * token. All requests come from one other entry. Rejected requests are not retried.
 */
final class PlacementCost {
    private static final InstanceId ENTRY = InstanceId.of("entry-1");
    private static final PoolId POOL = PoolId.of("engines");
    private static final long WARM_UP_MS = 4_000;
    private static final long MEASURED_MS = 4_000;
    private static final long TICK_MS = 10;
    private static final double FIRST_BYTE_MS = 26;
    private static final double PREFILL_TOKENS_PER_MS = 157;
    private static final double TOKEN_MS = 4.3;
    private static final int OUTPUT_TOKENS = 180;
    private static final int SESSIONS = 1_000;
    private static final int SHARED_FIRST_PARTS = 10;
    private static final EngineMemory MEMORY = EngineMemory.fetching(600_000, 0.0004);
    private static final double NS_PER_US = 1_000;

    private final InstanceKernel kernel =
            InstanceKernel.create(Member.of(InstanceId.of("entry-0"), 1, DataCentreId.of("dc"), false));
    private final PriorityQueue<Due> due =
            new PriorityQueue<>(Comparator.comparingDouble(Due::atMs).thenComparingLong(Due::order));
    private final Map<Long, Long> promptTokens = new TreeMap<>();
    private final Random random = new Random(1);
    private final CellId cell;
    private final int customers;
    private long order;
    private long lastPlacementId;

    private PlacementCost(int targets, int slots, int customers) {
        this.customers = customers;
        Map<TargetId, TargetSettings> engines = new TreeMap<>();
        for (int i = 0; i < targets; i++) {
            TargetId id = TargetId.of("target-" + i);
            DataCentreId dataCentre = DataCentreId.of("dc-" + i % 5);
            engines.put(id, new TargetSettings(id, POOL, "127.0.0.1", 1, dataCentre, slots, false, MEMORY));
        }
        PoolSettings pool = PoolSettings.modelEngines(POOL).withCellTargets(targets);
        kernel.apply(new Event.SettingsAccepted(FleetSettings.of(1, Map.of(), Map.of(POOL, pool), engines)), 0);
        this.cell = kernel.cells().get(0);
    }

    /** @param perSecond placement requests per second */
    static Result measure(int targets, int slots, int customers, int perSecond) {
        PlacementCost cost = new PlacementCost(targets, slots, customers);
        cost.load(perSecond);
        cost.run(WARM_UP_MS);
        return cost.run(WARM_UP_MS + MEASURED_MS);
    }

    /**
     * Processor time on the arbiter's instance.
     *
     * @param requestUs time of all decisions, per request
     * @param longestUs time of the longest single decision
     */
    record Result(double requestUs, double longestUs) {}

    private record Due(double atMs, long order, Event event) {}

    private void load(int perSecond) {
        long count = perSecond * (WARM_UP_MS + MEASURED_MS) / 1_000;
        for (long i = 0; i < count; i++) {
            at(i * 1_000.0 / perSecond, received(placementRequest()));
        }
        for (long tickMs = TICK_MS; tickMs < WARM_UP_MS + MEASURED_MS; tickMs += TICK_MS) {
            at(tickMs, new Event.Tick());
        }
    }

    private PeerMessage placementRequest() {
        long placementId = ++lastPlacementId;
        int session = random.nextInt(SESSIONS);
        int ownTokens = 200 + random.nextInt(4_000);
        List<PromptPart> prompt = List.of(
                PromptPart.of(1 + session % SHARED_FIRST_PARTS, 400),
                PromptPart.of(1_000 + session, 1_500),
                PromptPart.of(1_000_000 + placementId, ownTokens));
        promptTokens.put(placementId, (long) ownTokens);
        // Half of the requests come from the first tenth of the customers, the others from all customers.
        int customer = random.nextBoolean() ? random.nextInt(customers) : random.nextInt(Math.max(1, customers / 10));
        return new PeerMessage.Place(
                cell,
                placementId,
                CustomerId.of("customer-" + customer),
                1,
                prompt,
                OUTPUT_TOKENS,
                400,
                10_000,
                List.of());
    }

    private Result run(long untilMs) {
        long requests = 0;
        long spentNs = 0;
        long longestNs = 0;
        while (!due.isEmpty() && due.peek().atMs() < untilMs) {
            Due next = due.poll();
            requests += isPlacementRequest(next.event()) ? 1 : 0;
            long startedNs = System.nanoTime();
            List<Action> actions = kernel.apply(next.event(), Math.round(next.atMs()));
            long tookNs = System.nanoTime() - startedNs;
            spentNs += tookNs;
            longestNs = Math.max(longestNs, tookNs);
            placements(actions).forEach(placed -> start(placed, next.atMs()));
        }
        return new Result(spentNs / NS_PER_US / Math.max(1, requests), longestNs / NS_PER_US);
    }

    private static boolean isPlacementRequest(Event event) {
        return event instanceof Event.PeerReceived received && received.message() instanceof PeerMessage.Place;
    }

    private static List<PeerMessage.Placed> placements(List<Action> actions) {
        List<PeerMessage.Placed> placements = new ArrayList<>();
        for (Action action : actions) {
            if (action instanceof Action.SendPeer send && send.message() instanceof PeerMessage.Placed placed) {
                placements.add(placed);
            }
        }
        return placements;
    }

    private void start(PeerMessage.Placed placed, double nowMs) {
        double firstMs =
                nowMs + FIRST_BYTE_MS + promptTokens.getOrDefault(placed.placementId(), 0L) / PREFILL_TOKENS_PER_MS;
        at(firstMs, received(new PeerMessage.PlacementAnswering(cell, placed.placementId())));
        PeerMessage ended =
                new PeerMessage.PlacementEnded(cell, placed.placementId(), OUTPUT_TOKENS, PlacementEnd.SERVED);
        at(firstMs + TOKEN_MS * OUTPUT_TOKENS, received(ended));
    }

    private void at(double atMs, Event event) {
        due.add(new Due(atMs, order++, event));
    }

    private static Event received(PeerMessage message) {
        return new Event.PeerReceived(ENTRY, 1, message);
    }
}
