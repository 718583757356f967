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
 * Keeps the {@link PoisonRequests} of all instances the same: what one learns it tells all others with its next tick, and
 * who comes anew is told all by each. A harmful request goes to any instance; one that learned only from its own targets
 * would let it end as many as each of the others.
 *
 * <p>It costs a message to each peer for each tick in which something was learned; a target's end is known to those
 * instances that had requests there, each of which tells of all of these at once.
 */
public final class PoisonRequestGossip {
    /** News in one message; what is more waits for the next tick. */
    private static final int MOST_IN_MESSAGE = 128;

    private final PoisonRequests records = PoisonRequests.create();
    private final Set<RequestCrash> crashesToTell = new LinkedHashSet<>();
    private final Set<Long> servedToTell = new LinkedHashSet<>();

    private PoisonRequestGossip() {}

    public static PoisonRequestGossip create() {
        return new PoisonRequestGossip();
    }

    public PoisonRequests records() {
        return records;
    }

    /** A target ended under a request of this instance; false where that is known. */
    public boolean crashed(RequestCrash crash, long nowMs) {
        return records.add(crash, nowMs) && crashesToTell.add(crash);
    }

    /** A request of this instance was answered whole. */
    public void served(long digest) {
        if (records.clear(digest)) {
            crashesToTell.removeIf(crash -> crash.digest() == digest);
            servedToTell.add(digest);
        }
    }

    /**
     * Takes what a peer has learned; what was served is cleared first, since what came after it is told as well.
     *
     * @return the requests of which something new is known
     */
    public Set<Long> received(CrashNews news, long nowMs) {
        news.served().forEach(records::clear);
        Set<Long> changed = new LinkedHashSet<>();
        for (RequestCrash crash : news.crashes()) {
            if (records.add(crash, nowMs)) {
                changed.add(crash.digest());
            }
        }
        return changed;
    }

    /** Whether anything was learned that the peers have not been told. */
    public boolean hasNews() {
        return !crashesToTell.isEmpty() || !servedToTell.isEmpty();
    }

    /** Tells the peers what was learned since the last time. */
    public void tell(Collection<InstanceId> peers, ActionSink sink) {
        CrashNews news = new CrashNews(take(crashesToTell), take(servedToTell));
        peers.forEach(peer -> sink.accept(new Action.SendPeer(peer, news)));
    }

    /** A new link to a peer came up: it may have started anew, or have missed what was told. */
    public void connected(InstanceId peer, long nowMs, ActionSink sink) {
        List<RequestCrash> all = records.all(nowMs);
        if (!all.isEmpty()) {
            sink.accept(new Action.SendPeer(peer, new CrashNews(all, List.of())));
        }
    }

    private static <T> List<T> take(Set<T> waiting) {
        List<T> taken = new ArrayList<>(waiting).subList(0, Math.min(MOST_IN_MESSAGE, waiting.size()));
        taken.forEach(waiting::remove);
        return List.copyOf(taken);
    }
}
