package org.marjoramswitch.kernel.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.misc.CustomerCounts;
import org.marjoramswitch.kernel.model.CellId;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.PromptPart;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.settings.EngineMemory;
import org.marjoramswitch.kernel.settings.PoolSettings;
import org.marjoramswitch.kernel.settings.TargetSettings;

class DemandReportTest {
    private static final PoolId POOL = PoolId.of("pool");
    private static final CellId CELL = CellId.of(POOL, 0);
    private static final InstanceId ENTRY = InstanceId.of("entry-1");
    private static final CustomerId CUSTOMER = CustomerId.of("customer");

    private final PlacementArbiter arbiter =
            PlacementArbiter.create(CELL, PoolSettings.modelEngines(POOL), customer -> 1);

    /** Guards against a log in which tokens that a customer asked for are neither served nor rejected for a reason. */
    @Test
    void outcomesAddUpToTheTokensThatWereAskedFor() {
        arbiter.targets(
                List.of(new TargetSettings(
                        TargetId.of("t1"),
                        POOL,
                        "10.0.0.1",
                        80,
                        DataCentreId.of("dc"),
                        4,
                        false,
                        EngineMemory.of(100_000))),
                Set.of());
        List<Action> actions = new ArrayList<>();
        arbiter.decide(10_000, actions::add);
        arbiter.demandRejected(CUSTOMER, 70.4, 10_100);
        for (int i = 1; i <= 40; i++) {
            long delayMs = i > 30 ? 400 : 0;
            arbiter.place(ENTRY, request(i, i % 3 == 0 ? 20 : 600), delayMs, 10_100 + i);
            arbiter.decide(10_100 + i, actions::add);
        }
        arbiter.place(ENTRY, request(41, 600), 0, 10_200);
        arbiter.withdraw(ENTRY, 41);
        for (long nowMs = 10_200; nowMs < 10_900; nowMs += 10) {
            arbiter.decide(nowMs, actions::add);
        }
        actions.clear();
        for (long nowMs = 10_900; nowMs <= 13_000; nowMs += 10) {
            arbiter.decide(nowMs, actions::add);
        }
        long asked = 0;
        long outcomes = 0;
        double rejectedAtEntries = 0;
        for (Action action : actions) {
            if (action instanceof Action.Decided decided
                    && decided.decision().event().equals("customer_demand")) {
                asked += field(decided, "askedTokens");
                rejectedAtEntries += field(decided, "rejectedAtEntriesTokens");
                outcomes += field(decided, "startedTokens")
                        + field(decided, "lateTokens")
                        + field(decided, "lagTokens")
                        + field(decided, "otherRejectedTokens")
                        + field(decided, "withdrawnTokens");
            }
        }
        assertEquals(41 * 1_020, asked);
        assertEquals(70, rejectedAtEntries);
        assertEquals(asked, outcomes);
    }

    /** Guards against state and log lines that grow with the names of customers. */
    @Test
    void reportsABoundedNumberOfCustomers() {
        DemandReport report = new DemandReport();
        for (int i = 0; i < 10_000; i++) {
            report.rejectedAtEntry(CustomerId.of("c" + i), 1);
        }
        assertEquals(CustomerCounts.MAX_REPORTED, report.takeDue(1_000).size());
    }

    private static long field(Action.Decided decided, String name) {
        return ((Number) decided.decision().fields().get(name)).longValue();
    }

    private static PeerMessage.Place request(long id, long objectiveMs) {
        List<PromptPart> prompt = List.of(PromptPart.of(id, 1_000));
        return new PeerMessage.Place(CELL, id, CUSTOMER, 1, prompt, 10, objectiveMs, 2_000, List.of());
    }
}
