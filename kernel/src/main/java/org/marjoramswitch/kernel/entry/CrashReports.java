package org.marjoramswitch.kernel.entry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.action.ActionSink;
import org.marjoramswitch.kernel.crash.PoisonRequestGossip;
import org.marjoramswitch.kernel.crash.PoisonRequests;
import org.marjoramswitch.kernel.message.PeerMessage.CrashNews;
import org.marjoramswitch.kernel.message.PeerMessage.RequestCrash;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.model.TargetOutcome;

/**
 * Derives from how an entry's attempts end which requests and prompt parts targets crash under, and exchanges this with
 * the other instances.
 *
 * <p>A target that crashes breaks off all that runs there. Of these requests only those are accused whose responses had
 * not begun, or only just: the others' prompts had been processed long before.
 *
 * <p>Only what a target sends clears the parts of a prompt: a part of the response some time after its beginning, or its
 * end. That a response has not been reported as broken proves nothing, since its caller may have cancelled it, its target
 * may have crashed without closing the connection, and reports may be late.
 */
final class CrashReports {
    /**
     * How long a prompt part is blocked before its crashes are persisted. A sound part that was blocked by mistake is
     * cleared well within it by requests that had been sent before; its copy would block it again at every instance that
     * reads it later.
     */
    private static final long PERSIST_AFTER_MS = 2_000;

    /** A response of which a part arrives this long after its first byte did not crash its target. */
    private static final long WENT_ON_MS = 300;

    private final PoisonRequestGossip gossip = PoisonRequestGossip.create();

    /** Blocked prompt parts whose crashes have not been persisted, in the order in which they were blocked. */
    private final Map<Long, Long> blockedSinceMs = new LinkedHashMap<>();

    PoisonRequests poisonRequests() {
        return gossip.poisonRequests();
    }

    /**
     * Remaining time for which the request may not be sent to a target; 0 if it may. A trial is blocked by crashes only,
     * not by itself.
     */
    long blockedForMs(EntryRequest request, long nowMs) {
        return request.isTrial()
                ? poisonRequests().blockedByCrashesForMs(request.suspects(), nowMs)
                : poisonRequests().blockedForMs(request.suspects(), nowMs);
    }

    /** Records that the response of the request's running attempt has begun. */
    void responseBegan(EntryRequest request, long nowMs) {
        if (request.responseBeganAtMs() == EntryRequest.NOT_BEGUN) {
            request.responseBegan(nowMs);
        }
    }

    /** Records that a part of the response of the request's running attempt has arrived; clears its prompt if it went on. */
    void responseProgressed(EntryRequest request, long nowMs) {
        // The report of the response's first byte may have been lost in a full ring.
        responseBegan(request, nowMs);
        if (hasGoneOn(request.responseBeganAtMs(), nowMs)) {
            gossip.responseWentOn(request.suspects().promptParts(), request.responseBeganAtMs());
        }
    }

    /**
     * Records the end of an attempt.
     *
     * @return the digests for which a crash was recorded that was not known
     */
    List<Long> attemptEnded(EntryRequest request, TargetId target, TargetOutcome outcome, long nowMs) {
        if (outcome.isWhole()) {
            gossip.requestServed(request.suspects().request());
        }
        if (outcome == TargetOutcome.COMPLETED) {
            // The report of the response's first byte may have been lost in a full ring.
            long begunAtMs = Math.min(request.responseBeganAtMs(), nowMs);
            gossip.responseWentOn(request.suspects().promptParts(), begunAtMs);
        }
        return outcome.brokeOff() ? targetCrashed(request, target, nowMs) : List.of();
    }

    private List<Long> targetCrashed(EntryRequest request, TargetId target, long nowMs) {
        List<Long> accused = new ArrayList<>();
        long digest = request.suspects().request();
        if (digest != 0 && gossip.targetCrashed(new RequestCrash(digest, target, 0), nowMs)) {
            accused.add(digest);
        }
        if (hasGoneOn(request.responseBeganAtMs(), nowMs)) {
            return accused;
        }
        for (long part : request.suspects().promptParts()) {
            if (gossip.targetCrashed(new RequestCrash(part, target, 0, true), nowMs)) {
                accused.add(part);
            }
        }
        return accused;
    }

    private static boolean hasGoneOn(long begunAtMs, long nowMs) {
        return begunAtMs <= nowMs - WENT_ON_MS;
    }

    /** Persists the crashes under prompt parts that have been blocked for long enough. */
    void tick(long nowMs, ActionSink sink) {
        persistBlockedParts(nowMs, sink);
    }

    /** Applies a peer's update; returns the digests with new crashes. */
    Set<Long> received(CrashNews update, long nowMs) {
        return gossip.received(update, nowMs);
    }

    /** Whether there are reports that have not been sent to the peers. */
    boolean hasUpdates() {
        return gossip.hasUpdates();
    }

    /** Sends unsent reports to the peers. */
    void publish(Collection<InstanceId> peers, ActionSink sink) {
        gossip.publish(peers, sink);
    }

    /** Sends all reports over a new link. */
    void connected(InstanceId peer, long nowMs, ActionSink sink) {
        gossip.connected(peer, nowMs, sink);
    }

    /** Persists the crashes under a blocked request, and later those under a prompt part that is still blocked then. */
    void persist(long digest, long nowMs, ActionSink sink) {
        if (poisonRequests().blockedForMs(digest, nowMs) == 0) {
            return;
        }
        if (poisonRequests().isPromptPart(digest)) {
            blockedSinceMs.putIfAbsent(digest, nowMs);
            return;
        }
        sink.accept(new Action.KeepCrashes(digest, poisonRequests().of(digest, nowMs)));
    }

    private void persistBlockedParts(long nowMs, ActionSink sink) {
        Iterator<Map.Entry<Long, Long>> oldestFirst = blockedSinceMs.entrySet().iterator();
        while (oldestFirst.hasNext()) {
            Map.Entry<Long, Long> blocked = oldestFirst.next();
            if (nowMs - blocked.getValue() < PERSIST_AFTER_MS) {
                return;
            }
            oldestFirst.remove();
            if (poisonRequests().blockedForMs(blocked.getKey(), nowMs) > 0) {
                sink.accept(new Action.KeepCrashes(
                        blocked.getKey(), poisonRequests().of(blocked.getKey(), nowMs)));
            }
        }
    }
}
