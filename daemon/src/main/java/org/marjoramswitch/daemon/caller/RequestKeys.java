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
 * The request keys of this instance: the {@link KeyRegistry} behind a lock, the answers that go with it, and the
 * questions to and from other instances.
 *
 * <p>Time here is the wall clock, since keys carry it between instances; the registry never lets it go back.
 */
public final class RequestKeys {
    private static final long SWEEP_MS = 1_000;
    /** Begins the suffixes of an instance's own keys, which no caller may present. */
    private static final String OWN_SUFFIX = "~~";

    private final Member self;
    private final PeerSender peers;
    private final LongSupplier clockMs;
    private final LongSupplier wallClockMs;
    private final KeyRegistry registry;
    private final ResponseCache kept;
    private final HomeQueries queries;
    private final Map<Long, KeyedResponse> answers = new HashMap<>();
    private long sweptMs;

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
        this.kept = ResponseCache.of(options.maxKeptBytes());
        this.queries = queries;
    }

    /**
     * @param self this instance with its incarnation, which must be new with every start
     * @param addresses tells where callers reach the home of a key
     * @param clockMs a clock that never goes back, for timeouts
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

    /** Takes the messages that are about keys; false for all others. */
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

    /** What became of a key of this home; one that has not begun is dead from now on. */
    synchronized KeyState stateOf(CustomerId customer, RequestKey key) {
        return registry.query(customer, key, wallClockMs.getAsLong());
    }

    InstanceId self() {
        return self.id();
    }

    boolean isHome(RequestKey key) {
        return key.home().equals(self.id()) && key.incarnation() == self.incarnation();
    }

    /** The prefix of keys for requests that are first sent to this instance. */
    String prefix(InstanceId home, long incarnation) {
        return RequestKey.prefix(home, incarnation, TimeUnit.MILLISECONDS.toSeconds(wallClockMs.getAsLong()));
    }

    /** A key of this instance's own making, for a request whose caller gave none. */
    RequestKey ownKey(long requestId) {
        long issuedS = TimeUnit.MILLISECONDS.toSeconds(wallClockMs.getAsLong());
        return RequestKey.of(self.id(), self.incarnation(), issuedS, OWN_SUFFIX + requestId);
    }

    /** Whether a key looks like one of an instance's own making. */
    static boolean isReserved(RequestKey key) {
        return key.suffix().startsWith(OWN_SUFFIX);
    }

    /**
     * Takes a try with a key of this home.
     *
     * @param answer made where the request starts, with {@code requestId}
     */
    synchronized KeyAdmission begin(
            CustomerId customer, RequestKey key, long fingerprint, long requestId, Supplier<KeyedResponse> answer) {
        KeyVerdict verdict = registry.present(customer, key, fingerprint, requestId, wallClockMs.getAsLong());
        if (verdict instanceof KeyVerdict.Start) {
            KeyedResponse started = answer.get();
            answers.put(requestId, started);
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
        return new KeyAdmission.Found(Objects.requireNonNull(answers.get(requestId)));
    }

    /** The failure as it may be told to a try that carried this header, see {@link KeyRegistry#refuse}. */
    Failure refuse(CustomerId customer, @Nullable String keyText, Failure failure) {
        RequestKey key = keyText == null ? null : RequestKey.parse(keyText);
        if (key == null || failure.run() != RunState.NOT_RUN) {
            return failure;
        }
        if (!isHome(key)) {
            // Another try may run at the key's home, which was not asked.
            return new Failure(failure.type(), RunState.UNKNOWN, failure.retryAfterMs(), failure.detail());
        }
        synchronized (this) {
            return registry.refuse(customer, key, failure, wallClockMs.getAsLong());
        }
    }

    /** Finds out what became of a key of another home. */
    void ask(CustomerId customer, RequestKey key, Consumer<HomeQueryResult> answer) {
        if (key.home().equals(self.id())) {
            answer.accept(new HomeQueryResult.Unknown(0)); // an earlier incarnation of this instance
            return;
        }
        queries.ask(customer, key, clockMs.getAsLong(), answer);
    }

    synchronized void sent(long requestId) {
        registry.sent(requestId);
    }

    synchronized void answering(long requestId) {
        registry.answering(requestId);
    }

    void ended(KeyedResponse answer, ResponseEnd end, long bytes) {
        boolean notRun =
                end instanceof ResponseEnd.Failed failed && failed.failure().run() == RunState.NOT_RUN;
        List<ResponseBuffer> dropped;
        synchronized (this) {
            registry.ended(answer.requestId(), notRun, wallClockMs.getAsLong());
            dropped = notRun
                    ? drop(List.of(answer.requestId()))
                    : drop(kept.add(answer.customer(), answer.requestId(), bytes));
        }
        dropped.forEach(ResponseBuffer::discard);
    }

    private List<ResponseBuffer> drop(List<Long> requestIds) {
        requestIds.forEach(registry::answerDropped);
        requestIds.forEach(kept::remove);
        return requestIds.stream()
                .map(answers::remove)
                .filter(Objects::nonNull)
                .map(KeyedResponse::buffer)
                .toList();
    }

    /** To be called several times a second. */
    void tick() {
        long nowMs = clockMs.getAsLong();
        queries.tick(nowMs);
        List<ResponseBuffer> dropped;
        synchronized (this) {
            if (nowMs - sweptMs < SWEEP_MS) {
                return;
            }
            sweptMs = nowMs;
            dropped = drop(registry.expire(wallClockMs.getAsLong()));
        }
        dropped.forEach(ResponseBuffer::discard);
    }

    synchronized int size() {
        return registry.size();
    }
}
