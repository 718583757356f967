package org.marjoramswitch.testkit.bench;

import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.marjoramswitch.kernel.InstanceKernel;
import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.event.Event;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.model.CellId;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.FleetView;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.Member;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.RequestSpec;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.model.TargetOutcome;
import org.marjoramswitch.kernel.model.Usage;
import org.marjoramswitch.kernel.settings.CustomerSettings;
import org.marjoramswitch.kernel.settings.FleetSettings;
import org.marjoramswitch.kernel.settings.PoolSettings;
import org.marjoramswitch.kernel.settings.TargetSettings;

/**
 * Benchmark of the processor time and allocation of decisions, and of their growth with the fleet size, on which
 * docs/CAPACITY.md is based. Times depend on the machine and are only reported, never asserted; allocation varies
 * less.
 */
public final class DecisionCost {
    private static final int WARM_UP_ROUNDS = 3_000;
    private static final int ROUNDS = 10_000;
    private static final int CELL_TARGETS = 4;
    private static final int SLOTS = 16;
    private static final int OFFERED = 16;
    private static final long TICK_MS = 10;
    private static final double NS_PER_US = 1_000;
    private static final DataCentreId DATA_CENTRE = DataCentreId.of("dc");
    private static final InstanceId SELF = InstanceId.of("entry-0");

    private final PrintStream out;

    private DecisionCost(PrintStream out) {
        this.out = out;
    }

    public static DecisionCost of(PrintStream out) {
        return new DecisionCost(out);
    }

    /** Runs the benchmark and prints a line for each role and size. */
    public void run() {
        for (int backlogged : new int[] {2, 16, 150}) {
            arbiterRound(backlogged);
        }
        for (int customers : new int[] {16, 150, 1_500}) {
            entryRound(customers);
        }
        for (int instances : new int[] {9, 40, 120, 350}) {
            viewChange(instances);
            idleTick(instances);
        }
        placement(8, 48, 16, 300);
        placement(37, 16, 60, 1_200);
        placement(62, 12, 60, 2_500);
        placement(200, 12, 200, 4_500);
        placement(600, 12, 200, 4_500);
    }

    /** Total cost of a request to the arbiter that places it, at loads around and above the pool's capacity. */
    private void placement(int targets, int slots, int customers, int perSecond) {
        PlacementCost.Result cost = PlacementCost.measure(targets, slots, customers, perSecond);
        out.printf(
                "event=decision_cost role=placement targets=%d slots=%d customers=%d requests_s=%d time_us=%.2f"
                        + " longest_us=%.0f%n",
                targets, slots, customers, perSecond, cost.requestUs(), cost.longestUs());
    }

    /** One grant, its end and the renewed demand, which is the total cost of a request to its arbiter. */
    private void arbiterRound(int backlogged) {
        InstanceKernel kernel = kernel(1, CELL_TARGETS, 1, backlogged);
        InstanceId entry = InstanceId.of("entry-1");
        CellId cell = kernel.cells().get(0);
        List<PeerMessage.Offer> offers = new ArrayList<>();
        for (int i = 0; i < backlogged; i++) {
            offers.add(new PeerMessage.Offer(customer(i), OFFERED, RequestSpec.DEFAULT_URGENCY));
        }
        List<PeerMessage.Grant> granted = new ArrayList<>();
        PeerMessage register = new PeerMessage.Register(cell, offers, List.of(), List.of(), 0);
        collect(kernel.apply(new Event.PeerReceived(entry, 1, register), 0), granted);
        collect(kernel.apply(new Event.Tick(), 1_000), granted);
        int[] at = {0};
        measure("arbiter_round", "backlogged", backlogged, round -> {
            PeerMessage.Grant grant = granted.get(at[0]++);
            long nowMs = 1_000L + round;
            PeerMessage demand = new PeerMessage.Demand(cell, grant.customer(), 1, RequestSpec.DEFAULT_URGENCY);
            PeerMessage ended = new PeerMessage.Ended(cell, grant.sequence(), 200, false);
            collect(kernel.apply(new Event.PeerReceived(entry, 1, demand), nowMs), granted);
            collect(kernel.apply(new Event.PeerReceived(entry, 1, ended), nowMs), granted);
        });
    }

    /** One request at its entry from arrival to end, granted by another instance. */
    private void entryRound(int customers) {
        InstanceKernel kernel = kernel(1, CELL_TARGETS, 2, customers);
        InstanceId arbiter = InstanceId.of("entry-1");
        PoolId pool = pool(0);
        kernel.apply(new Event.ViewChanged(FleetView.of(List.of(member(1)))), 0);
        CellId cell = kernel.cells().get(0);
        measure("entry_round", "customers", customers, round -> {
            long nowMs = 1_000L + round;
            CustomerId customer = customer(round % customers);
            RequestSpec spec = new RequestSpec(
                    round + 1, customer, pool, RequestSpec.DEFAULT_URGENCY, true, 100, 0, 0, nowMs + 60_000);
            kernel.apply(new Event.RequestArrived(spec), nowMs);
            PeerMessage grant = new PeerMessage.Grant(cell, round + 1, customer, target(0), 0);
            kernel.apply(new Event.PeerReceived(arbiter, 1, grant), nowMs);
            kernel.apply(new Event.TargetProgress(round + 1, 100), nowMs);
            kernel.apply(new Event.TargetEnded(round + 1, TargetOutcome.COMPLETED, Usage.of(100, 0, 200, 800)), nowMs);
        });
    }

    /** A member leaves or joins, so that the arbiters of all cells are reassigned. */
    private void viewChange(int instances) {
        InstanceKernel kernel = fleetKernel(instances);
        FleetView fullView = view(instances, 0);
        FleetView reducedView = view(instances, 1);
        measure(
                "view_change",
                "instances",
                instances,
                200,
                round -> kernel.apply(new Event.ViewChanged(round % 2 == 0 ? reducedView : fullView), round));
    }

    private void idleTick(int instances) {
        InstanceKernel kernel = fleetKernel(instances);
        measure("idle_tick", "instances", instances, round -> kernel.apply(new Event.Tick(), round * TICK_MS));
    }

    private void measure(String role, String sizeName, int size, Round round) {
        measure(role, sizeName, size, ROUNDS, round);
    }

    private void measure(String role, String sizeName, int size, int rounds, Round round) {
        int warmUp = Math.min(WARM_UP_ROUNDS, rounds);
        for (int i = 0; i < warmUp; i++) {
            round.run(i);
        }
        long allocatedBytes = allocatedBytes();
        long startedNs = System.nanoTime();
        for (int i = warmUp; i < warmUp + rounds; i++) {
            round.run(i);
        }
        double tookUs = (System.nanoTime() - startedNs) / NS_PER_US / rounds;
        long bytes = (allocatedBytes() - allocatedBytes) / rounds;
        out.printf(
                "event=decision_cost role=%s %s=%d time_us=%.2f allocated_bytes=%d%n",
                role, sizeName, size, tookUs, bytes);
    }

    private static long allocatedBytes() {
        com.sun.management.ThreadMXBean threads = (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
        return threads.getCurrentThreadAllocatedBytes();
    }

    private static void collect(List<Action> actions, List<PeerMessage.Grant> into) {
        for (Action action : actions) {
            if (action instanceof Action.SendPeer send && send.message() instanceof PeerMessage.Grant grant) {
                into.add(grant);
            }
        }
    }

    private static InstanceKernel kernel(int pools, int targets, int instances, int customers) {
        InstanceKernel kernel = InstanceKernel.create(member(0));
        kernel.apply(new Event.SettingsAccepted(settings(pools, targets, customers)), 0);
        kernel.apply(new Event.ViewChanged(view(instances, 0)), 0);
        return kernel;
    }

    /** The size expected in two years, 350 instances with 640 replicas in 23 pools, scaled to {@code instances}. */
    private static InstanceKernel fleetKernel(int instances) {
        int pools = Math.max(1, 23 * instances / 350);
        return kernel(pools, 640 * instances / 350, instances, 1_500 * instances / 350);
    }

    private static FleetSettings settings(int pools, int targets, int customers) {
        Map<PoolId, PoolSettings> poolSettings = new TreeMap<>();
        for (int i = 0; i < pools; i++) {
            poolSettings.put(pool(i), PoolSettings.modelEngines(pool(i)).withCellTargets(CELL_TARGETS));
        }
        Map<TargetId, TargetSettings> targetSettings = new TreeMap<>();
        for (int i = 0; i < targets; i++) {
            TargetSettings settings =
                    new TargetSettings(target(i), pool(i % pools), "127.0.0.1", 1, DATA_CENTRE, SLOTS, true);
            targetSettings.put(target(i), settings);
        }
        Map<CustomerId, CustomerSettings> customerSettings = new TreeMap<>();
        for (int i = 0; i < customers; i++) {
            CustomerSettings settings = new CustomerSettings(customer(i), "bench", 1, Set.of(), 1_000);
            customerSettings.put(customer(i), settings);
        }
        return FleetSettings.of(1, customerSettings, poolSettings, targetSettings);
    }

    private static FleetView view(int instances, int absent) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < instances - absent; i++) {
            members.add(member(i));
        }
        return FleetView.of(members);
    }

    private static Member member(int index) {
        return Member.of(index == 0 ? SELF : InstanceId.of("entry-" + index), 1, DATA_CENTRE, false);
    }

    private static CustomerId customer(int index) {
        return CustomerId.of("customer-" + index);
    }

    private static PoolId pool(int index) {
        return PoolId.of("model-" + index);
    }

    private static TargetId target(int index) {
        return TargetId.of("target-" + index);
    }

    /** A measured round. */
    @FunctionalInterface
    private interface Round {
        void run(int number);
    }
}
