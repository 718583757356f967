package org.marjoramswitch.kernel;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.action.ActionSink;
import org.marjoramswitch.kernel.entry.FleetState;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.message.PeerMessage.CustomerTokens;
import org.marjoramswitch.kernel.model.CellId;
import org.marjoramswitch.kernel.model.InstanceId;

/**
 * Sends the demand that this instance rejected to the arbiters of the pools' cells, one message to each. The requests of
 * a pool would have been distributed over its cells, so each arbiter gets its cells' part.
 */
final class RejectedDemandRouting {
    private RejectedDemandRouting() {}

    static void send(List<CustomerTokens> rejected, FleetState fleet, ActionSink sink) {
        Map<InstanceId, List<CustomerTokens>> byArbiter = new TreeMap<>();
        for (CustomerTokens entry : rejected) {
            List<CellId> cells = fleet.cells().cells(entry.pool());
            for (CellId cell : cells) {
                InstanceId arbiter = fleet.arbiter(cell);
                if (arbiter != null) {
                    long tokens = Math.max(1, entry.tokens() / cells.size());
                    byArbiter
                            .computeIfAbsent(arbiter, missing -> new ArrayList<>())
                            .add(new CustomerTokens(entry.pool(), entry.customer(), tokens));
                }
            }
        }
        byArbiter.forEach((arbiter, entries) ->
                sink.accept(new Action.SendPeer(arbiter, new PeerMessage.RejectedDemand(entries))));
    }
}
