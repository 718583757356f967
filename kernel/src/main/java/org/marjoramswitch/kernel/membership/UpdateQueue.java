package org.marjoramswitch.kernel.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.marjoramswitch.kernel.model.InstanceId;

/**
 * Queue of the updates to piggyback on outgoing datagrams. Each update is sent a bounded number of times, those sent
 * least often first. A newer update of a member replaces the older one, so the queue is never longer than the fleet.
 * Taking updates costs time proportional to the number taken.
 */
final class UpdateQueue {
    /** The updates by the number of times that they were sent. */
    private final List<Map<InstanceId, MemberUpdate>> bySendCount = new ArrayList<>();

    private final Map<InstanceId, Integer> sendCountById = new HashMap<>();

    void add(MemberUpdate update) {
        Integer sent = sendCountById.put(update.id(), 0);
        if (sent != null) {
            level(sent).remove(update.id());
        }
        level(0).put(update.id(), update);
    }

    /** Takes updates up to a number of bytes; one that was sent {@code retransmissions} times leaves the queue. */
    List<MemberUpdate> take(int maxBytes, int retransmissions) {
        if (sendCountById.isEmpty()) {
            return List.of();
        }
        List<MemberUpdate> taken = new ArrayList<>();
        int bytesLeft = maxBytes;
        for (int sent = 0; sent < bySendCount.size() && bytesLeft > 0; sent++) {
            bytesLeft = takeLevel(sent, bytesLeft, taken);
        }
        taken.forEach(update -> recordSent(update, retransmissions));
        return taken;
    }

    /** Returns the bytes left, or 0 if the next update did not fit. */
    private int takeLevel(int sent, int maxBytes, List<MemberUpdate> taken) {
        int bytesLeft = maxBytes;
        Iterator<MemberUpdate> updates = level(sent).values().iterator();
        while (updates.hasNext()) {
            MemberUpdate update = updates.next();
            bytesLeft -= update.estimatedBytes();
            if (bytesLeft < 0) {
                return 0;
            }
            taken.add(update);
            updates.remove();
        }
        return bytesLeft;
    }

    private void recordSent(MemberUpdate update, int retransmissions) {
        int sent = sendCountById.getOrDefault(update.id(), 0) + 1;
        if (sent >= retransmissions) {
            sendCountById.remove(update.id());
            return;
        }
        sendCountById.put(update.id(), sent);
        level(sent).put(update.id(), update);
    }

    private Map<InstanceId, MemberUpdate> level(int sent) {
        while (bySendCount.size() <= sent) {
            bySendCount.add(new LinkedHashMap<>());
        }
        return bySendCount.get(sent);
    }
}
