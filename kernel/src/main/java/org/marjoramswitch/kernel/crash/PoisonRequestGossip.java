package org.marjoramswitch.kernel.crash;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.action.ActionSink;
import org.marjoramswitch.kernel.message.PeerMessage.CrashNews;
import org.marjoramswitch.kernel.message.PeerMessage.RequestCrash;
import org.marjoramswitch.kernel.model.InstanceId;

/**
 * Replicates {@link PoisonRequests} between all instances: each instance sends new crash reports to all others with its
 * next tick, and all of its reports to a peer whose link comes up. Without replication a poison request could crash the
 * limit of targets once per instance, since it may arrive at any of them.
 *
 * <p>Cost: one message to each peer for each tick with new reports. A target's crash is observed by those instances
 * that had requests there, and each reports all of these in one update.
 */
public final class PoisonRequestGossip {
    /** Maximum crashes, and maximum served requests, per message; the remainder is sent with the next tick. */
    private static final int MAX_PER_MESSAGE = 128;

    private final PoisonRequests poisonRequests = PoisonRequests.create();
    private final Set<RequestCrash> unsentCrashes = new LinkedHashSet<>();
    private final Set<Long> unsentServed = new LinkedHashSet<>();

    private PoisonRequestGossip() {}

    public static PoisonRequestGossip create() {
        return new PoisonRequestGossip();
    }

    public PoisonRequests poisonRequests() {
        return poisonRequests;
    }

    /** Records that a target crashed under a request of this instance; false if the crash is already known. */
    public boolean targetCrashed(RequestCrash crash, long nowMs) {
        return poisonRequests.add(crash, nowMs) && unsentCrashes.add(crash);
    }

    /** Clears a request of this instance that got a complete response. */
    public void requestServed(long digest) {
        if (poisonRequests.clear(digest)) {
            unsentCrashes.removeIf(crash -> crash.digest() == digest);
            unsentServed.add(digest);
        }
    }

    /** Clears the parts of a prompt to which a response began and went on. */
    public void responseWentOn(List<Long> promptParts, long begunAtMs) {
        for (long digest : promptParts) {
            if (poisonRequests.clearUntil(digest, begunAtMs)) {
                unsentCrashes.removeIf(crash -> crash.digest() == digest);
                unsentServed.add(digest);
            }
        }
    }

    /**
     * Applies a peer's update. Served requests are cleared first: crashes after the service are part of the same
     * update.
     *
     * @return the digests of the requests with new crashes
     */
    public Set<Long> received(CrashNews update, long nowMs) {
        update.served().forEach(poisonRequests::clear);
        Set<Long> changed = new LinkedHashSet<>();
        for (RequestCrash crash : update.crashes()) {
            if (poisonRequests.add(crash, nowMs)) {
                changed.add(crash.digest());
            }
        }
        return changed;
    }

    /** Whether there are reports that have not been sent to the peers. */
    public boolean hasUpdates() {
        return !unsentCrashes.isEmpty() || !unsentServed.isEmpty();
    }

    /** Sends unsent reports to the peers. */
    public void publish(Collection<InstanceId> peers, ActionSink sink) {
        CrashNews update = new CrashNews(take(unsentCrashes), take(unsentServed));
        peers.forEach(peer -> sink.accept(new Action.SendPeer(peer, update)));
    }

    /** Sends all crash reports over a new link: the peer may have restarted or may have missed updates. */
    public void connected(InstanceId peer, long nowMs, ActionSink sink) {
        List<RequestCrash> all = poisonRequests.all(nowMs);
        if (!all.isEmpty()) {
            sink.accept(new Action.SendPeer(peer, new CrashNews(all, List.of())));
        }
    }

    private static <T> List<T> take(Set<T> unsent) {
        List<T> taken = new ArrayList<>(unsent).subList(0, Math.min(MAX_PER_MESSAGE, unsent.size()));
        taken.forEach(unsent::remove);
        return List.copyOf(taken);
    }
}
