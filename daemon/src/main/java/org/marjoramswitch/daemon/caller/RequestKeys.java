package org.marjoramswitch.daemon.caller;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.peer.PeerSender;
import org.marjoramswitch.kernel.error.Failure;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.message.PeerMessage.KeyState;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.Member;
import org.marjoramswitch.kernel.model.RunState;
import org.marjoramswitch.kernel.request.KeyRegistry;
import org.marjoramswitch.kernel.request.KeyVerdict;
import org.marjoramswitch.kernel.request.RequestKey;

/**
 * Thread-safe access to this instance's request keys: the {@link KeyRegistry}, the cached responses of its requests,
 * and the queries to and from other instances.
 *
 * <p>The registry uses the wall clock, because a key contains its issue time, which other instances read. Within the
 * registry the time never decreases.
 */
public final class RequestKeys {
    private static final long SWEEP_MS = 1_000;
    /** Prefix of the suffixes of keys that an instance generates. Callers must not use such keys. */
    private static final String OWN_SUFFIX = "~~";

    private final Member self;
    private final PeerSender peers;
    private final LongSupplier clockMs;
    private final LongSupplier wallClockMs;
    private final KeyRegistry registry;
    private final ResponseCache cache;
    private final HomeQueries queries;
    private final Map<Long, KeyedResponse> responses = new HashMap<>();
    private long lastSweepMs;

    private RequestKeys(
            Member self,
            CallerOptions options,
            PeerSender peers,
            HomeQueries queries,
            LongSupplier clockMs,
            LongSupplier wallClockMs) {
        this.self = self;
        this.peers = peers;
        this.clockMs = clockMs;
        this.wallClockMs = wallClockMs;
        this.registry = KeyRegistry.create(options.keyLimits());
        this.cache = ResponseCache.of(options.maxCacheBytes());
        this.queries = queries;
    }

    /**
     * @param self this instance with its incarnation, which must be new with every start
     * @param addresses provides the addresses of home instances for callers
     * @param clockMs monotonic clock, for timeouts
     * @param wallClockMs milliseconds since 1970
     */
    public static RequestKeys create(
            Member self,
            CallerOptions options,
            PeerSender peers,
            InstanceDirectory addresses,
            LongSupplier clockMs,
            LongSupplier wallClockMs) {
        HomeQueries queries =
                HomeQueries.of(peers, addresses::address, options.times().homeTimeoutMs());
        return new RequestKeys(self, options, peers, queries, clockMs, wallClockMs);
    }

    /** Handles messages about keys; returns false for all others. */
    public boolean onMessage(InstanceId from, long fromIncarnation, PeerMessage message) {
        if (message instanceof PeerMessage.KeyQuery query) {
            peers.send(from, new PeerMessage.KeyReply(query.queryId(), stateFor(query)));
            return true;
        }
        if (message instanceof PeerMessage.KeyReply reply) {
            queries.onReply(from, fromIncarnation, reply);
            return true;
        }
        return false;
    }

    private KeyState stateFor(PeerMessage.KeyQuery query) {
        RequestKey key = RequestKey.parse(query.key());
        if (key == null || !isHome(key)) {
            return KeyState.FORGOTTEN;
        }
        return stateOf(query.customer(), key);
    }

    /** Returns the state of a key whose home is this instance. A key that has not started a request becomes dead. */
    synchronized KeyState stateOf(CustomerId customer, RequestKey key) {
        return registry.query(customer, key, wallClockMs.getAsLong());
    }

    InstanceId self() {
        return self.id();
    }

    boolean isHome(RequestKey key) {
        return key.home().equals(self.id()) && key.incarnation() == self.incarnation();
    }

    /** Returns the prefix of keys for requests whose first attempt is sent to the given instance. */
    String prefix(InstanceId home, long incarnation) {
        return RequestKey.prefix(home, incarnation, TimeUnit.MILLISECONDS.toSeconds(wallClockMs.getAsLong()));
    }

    /** Generates a key for a request whose caller gave none. */
    RequestKey ownKey(long requestId) {
        long issuedS = TimeUnit.MILLISECONDS.toSeconds(wallClockMs.getAsLong());
        return RequestKey.of(self.id(), self.incarnation(), issuedS, OWN_SUFFIX + requestId);
    }

    /** Whether a key has the form of the keys that instances generate. */
    static boolean isReserved(RequestKey key) {
        return key.suffix().startsWith(OWN_SUFFIX);
    }

    /**
     * Admits an attempt with a key whose home is this instance.
     *
     * @param responseFactory called with the lock held if the request starts, under {@code requestId}
     */
    synchronized KeyAdmission begin(
            CustomerId customer,
            RequestKey key,
            long fingerprint,
            long requestId,
            Supplier<KeyedResponse> responseFactory) {
        KeyVerdict verdict = registry.present(customer, key, fingerprint, requestId, wallClockMs.getAsLong());
        if (verdict instanceof KeyVerdict.Start) {
            KeyedResponse started = responseFactory.get();
            responses.put(requestId, started);
            return new KeyAdmission.Started(started);
        }
        if (verdict instanceof KeyVerdict.Attach attach) {
            return found(attach.requestId());
        }
        if (verdict instanceof KeyVerdict.Replay replay) {
            return found(replay.requestId());
        }
        return new KeyAdmission.Refused(((KeyVerdict.Refused) verdict).failure());
    }

    private KeyAdmission found(long requestId) {
        return new KeyAdmission.Found(Objects.requireNonNull(responses.get(requestId)));
    }

    /** Returns the failure to report to an attempt with this Request-Key header, see {@link KeyRegistry#refuse}. */
    Failure refuse(CustomerId customer, @Nullable String keyText, Failure failure) {
        RequestKey key = keyText == null ? null : RequestKey.parse(keyText);
        if (key == null || failure.run() != RunState.NOT_RUN) {
            return failure;
        }
        if (!isHome(key)) {
            // Another attempt may be running at the key's home, which was not queried.
            return new Failure(failure.type(), RunState.UNKNOWN, failure.retryAfterMs(), failure.detail());
        }
        synchronized (this) {
            return registry.refuse(customer, key, failure, wallClockMs.getAsLong());
        }
    }

    /** Queries the state of a key whose home is another instance or incarnation. */
    void query(CustomerId customer, RequestKey key, Consumer<HomeQueryResult> callback) {
        if (key.home().equals(self.id())) {
            callback.accept(new HomeQueryResult.Unknown(0)); // an earlier incarnation of this instance
            return;
        }
        queries.query(customer, key, clockMs.getAsLong(), callback);
    }

    synchronized void sent(long requestId) {
        registry.sent(requestId);
    }

    synchronized void answering(long requestId) {
        registry.responseStarted(requestId);
    }

    void ended(KeyedResponse response, ResponseEnd end, long bytes) {
        boolean notRun =
                end instanceof ResponseEnd.Failed failed && failed.failure().run() == RunState.NOT_RUN;
        List<ResponseBuffer> evicted;
        synchronized (this) {
            registry.ended(response.requestId(), notRun, wallClockMs.getAsLong());
            evicted = notRun
                    ? evict(List.of(response.requestId()))
                    : evict(cache.add(response.customer(), response.requestId(), bytes));
        }
        evicted.forEach(ResponseBuffer::discard);
    }

    private List<ResponseBuffer> evict(List<Long> requestIds) {
        requestIds.forEach(registry::responseDropped);
        requestIds.forEach(cache::remove);
        return requestIds.stream()
                .map(responses::remove)
                .filter(Objects::nonNull)
                .map(KeyedResponse::buffer)
                .toList();
    }

    /** Must be called several times per second. */
    void tick() {
        long nowMs = clockMs.getAsLong();
        queries.tick(nowMs);
        List<ResponseBuffer> evicted;
        synchronized (this) {
            if (nowMs - lastSweepMs < SWEEP_MS) {
                return;
            }
            lastSweepMs = nowMs;
            evicted = evict(registry.expire(wallClockMs.getAsLong()));
        }
        evicted.forEach(ResponseBuffer::discard);
    }

    synchronized int size() {
        return registry.size();
    }
}
