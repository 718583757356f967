package org.marjoramswitch.daemon.caller;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.peer.PeerSender;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.message.PeerMessage.KeyState;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.request.RequestKey;

/**
 * Asks the home instances of keys over the links to peers. A query that is not answered in time ends as unknown: its
 * answer may be lost with the link, and the caller waits. Only the incarnation that the key names can answer. Where it
 * is gone, nobody can tell whether it began the request: it may have been cut off, been the arbiter of its own cells and
 * granted to itself.
 */
final class HomeQueries {
    /** More open queries than this are refused at once, as unknown; a caller's retry costs no more than one entry. */
    private static final int MAX_OPEN = 10_000;

    static final long RETRY_AFTER_MS = 2_000;

    private final PeerSender peers;
    private final Function<InstanceId, @Nullable HostPort> addresses;
    private final long timeoutMs;
    private final Map<Long, Query> open = new HashMap<>();
    private long lastQueryId;

    private HomeQueries(PeerSender peers, Function<InstanceId, @Nullable HostPort> addresses, long timeoutMs) {
        this.peers = peers;
        this.addresses = addresses;
        this.timeoutMs = timeoutMs;
    }

    static HomeQueries of(PeerSender peers, Function<InstanceId, @Nullable HostPort> addresses, long timeoutMs) {
        return new HomeQueries(peers, addresses, timeoutMs);
    }

    /** @param answer called once, by any thread */
    void ask(CustomerId customer, RequestKey key, long nowMs, Consumer<HomeQueryResult> answer) {
        long queryId;
        synchronized (this) {
            queryId = open.size() < MAX_OPEN ? ++lastQueryId : 0;
            if (queryId != 0) {
                open.put(queryId, new Query(key, nowMs + timeoutMs, answer));
            }
        }
        if (queryId == 0) {
            answer.accept(new HomeQueryResult.Unknown(RETRY_AFTER_MS));
            return;
        }
        peers.send(key.home(), new PeerMessage.KeyQuery(queryId, key.toString(), customer));
    }

    void onReply(InstanceId from, long fromIncarnation, PeerMessage.KeyReply reply) {
        Query query;
        synchronized (this) {
            query = open.get(reply.queryId());
            if (query == null || !query.key.home().equals(from)) {
                return;
            }
            open.remove(reply.queryId());
        }
        // Another incarnation answers: the one that knew is gone for good, and asking again would not help.
        boolean knows = query.key.incarnation() == fromIncarnation;
        query.answer.accept(knows ? answer(query.key, reply.state()) : new HomeQueryResult.Unknown(0));
    }

    private HomeQueryResult answer(RequestKey key, KeyState state) {
        return switch (state) {
            case NEVER_SEEN, DEAD -> new HomeQueryResult.NotRun();
            case FORGOTTEN -> new HomeQueryResult.Unknown(0);
            case WAITING, SENT, ANSWERING, ENDED -> lives(key);
        };
    }

    private HomeQueryResult lives(RequestKey key) {
        HostPort address = addresses.apply(key.home());
        return address == null ? new HomeQueryResult.Unknown(RETRY_AFTER_MS) : new HomeQueryResult.Lives(address);
    }

    /** Ends the queries whose time is over. */
    void tick(long nowMs) {
        List<Query> over = new ArrayList<>();
        synchronized (this) {
            Iterator<Query> queries = open.values().iterator();
            while (queries.hasNext()) {
                Query query = queries.next();
                if (nowMs >= query.deadlineMs) {
                    queries.remove();
                    over.add(query);
                }
            }
        }
        over.forEach(query -> query.answer.accept(new HomeQueryResult.Unknown(RETRY_AFTER_MS)));
    }

    private record Query(RequestKey key, long deadlineMs, Consumer<HomeQueryResult> answer) {}
}
