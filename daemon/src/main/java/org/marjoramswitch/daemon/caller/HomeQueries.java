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
 * Queries the home instances of keys over the peer links. A query without a reply in time ends as unknown, because the
 * reply may be lost with the link while the caller waits.
 *
 * <p>Only the incarnation that the key names can reply. If that incarnation has ended, no instance knows whether it
 * started the request: it may have been partitioned and, as the arbiter of its own cells, have issued grants to itself.
 *
 * <p>Thread-safe.
 */
final class HomeQueries {
    /** Further queries end immediately as unknown, so callers' retries cannot exhaust the memory. */
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

    /** @param callback called once, on any thread */
    void query(CustomerId customer, RequestKey key, long nowMs, Consumer<HomeQueryResult> callback) {
        long queryId;
        synchronized (this) {
            queryId = open.size() < MAX_OPEN ? ++lastQueryId : 0;
            if (queryId != 0) {
                open.put(queryId, new Query(key, nowMs + timeoutMs, callback));
            }
        }
        if (queryId == 0) {
            callback.accept(new HomeQueryResult.Unknown(RETRY_AFTER_MS));
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
        // A different incarnation replied: the one that the key names has ended, so another query would not help.
        boolean sameIncarnation = query.key.incarnation() == fromIncarnation;
        query.callback.accept(sameIncarnation ? resultOf(query.key, reply.state()) : new HomeQueryResult.Unknown(0));
    }

    private HomeQueryResult resultOf(RequestKey key, KeyState state) {
        return switch (state) {
            case NEVER_SEEN, DEAD -> new HomeQueryResult.NotRun();
            case FORGOTTEN -> new HomeQueryResult.Unknown(0);
            case WAITING, SENT, ANSWERING, ENDED -> atHome(key);
        };
    }

    private HomeQueryResult atHome(RequestKey key) {
        HostPort address = addresses.apply(key.home());
        return address == null ? new HomeQueryResult.Unknown(RETRY_AFTER_MS) : new HomeQueryResult.AtHome(address);
    }

    /** Ends the queries whose timeout has expired. */
    void tick(long nowMs) {
        List<Query> expired = new ArrayList<>();
        synchronized (this) {
            Iterator<Query> queries = open.values().iterator();
            while (queries.hasNext()) {
                Query query = queries.next();
                if (nowMs >= query.deadlineMs) {
                    queries.remove();
                    expired.add(query);
                }
            }
        }
        expired.forEach(query -> query.callback.accept(new HomeQueryResult.Unknown(RETRY_AFTER_MS)));
    }

    private record Query(RequestKey key, long deadlineMs, Consumer<HomeQueryResult> callback) {}
}
