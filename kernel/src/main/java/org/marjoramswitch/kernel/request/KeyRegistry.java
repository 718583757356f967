package org.marjoramswitch.kernel.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.error.Failure;
import org.marjoramswitch.kernel.message.PeerMessage.KeyState;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.RunState;

/**
 * Tracks the request keys of one home instance. Guarantees at most one execution per key, and that "not run" is never
 * reported for a key that ran or will run.
 *
 * <p><b>Algorithm:</b> Only the home instance may start a key's request, and it does so when the key is first
 * presented. Every later attempt finds the entry: it attaches to the running response, gets the ended response
 * replayed, or receives the known state. "Not run" also covers the future, because an earlier attempt may still be
 * under way in the network. The key is therefore marked dead before "not run" is reported, and a dead key never starts.
 *
 * <p><b>Bounds:</b> Keeping every key ever seen would need unlimited memory, so a key contains the issue time of its
 * prefix. A key may start a request only within the start window after its issue, and is kept for longer, the memory
 * time. Three ages can thus be distinguished without an entry: young (unseen means new), middle (unseen means never
 * started, and it never will start: "not run") and old (unseen may mean evicted: "unknown"). The number of keys is
 * limited as well. At the limit, the customer that presents another key is rejected. Instead of one entry per rejected
 * key, one number per customer, the floor, makes every unseen key issued until now dead. Only customers with too many
 * keys get a floor.
 *
 * <p><b>Time:</b> Ages compare the clocks of two instances. If a clock went back, old keys would become young again and
 * an evicted one could run twice, so the registry uses the maximum of all times that were passed to it. Clock
 * differences cause rejections, never a second execution.
 *
 * <p><b>Customers</b> have separate entries: another customer's key is unseen, so nobody can attach to another
 * customer's request or learn that it exists.
 *
 * <p><b>Example:</b> A caller's connection breaks after it sent its request with key K to its home A. It retries at
 * B, which queries A. If the first attempt reached A, A replies ANSWERING and B directs the caller to A, where it
 * gets the complete response. If not, A marks K dead and replies NEVER_SEEN; B reports "not run". The first attempt,
 * still queued in A's socket, is read a moment later and rejected as dead, so "not run" remains true.
 *
 * <p><b>Cost:</b> One hash lookup per call; {@link #expire} iterates over all keys. Not thread-safe.
 */
public final class KeyRegistry {
    private final KeyLimits limits;
    private final Map<CustomerId, CustomerKeys> keysByCustomer = new HashMap<>();
    private final Map<Long, KeyEntry> byRequest = new HashMap<>();
    private int size;
    private long nowMs = Long.MIN_VALUE;

    private KeyRegistry(KeyLimits limits) {
        this.limits = limits;
    }

    public static KeyRegistry create(KeyLimits limits) {
        return new KeyRegistry(limits);
    }

    /** The number of keys kept. */
    public int size() {
        return size;
    }

    /**
     * Handles an attempt that presents a key of this home and incarnation.
     *
     * @param fingerprint hash of the request content; the same key with a different fingerprint is rejected
     * @param requestId the id of the request if it starts
     */
    public KeyVerdict present(
            CustomerId customer, RequestKey key, long fingerprint, long requestId, long presentedAtMs) {
        advanceClock(presentedAtMs);
        CustomerKeys keys = keys(customer);
        KeyEntry existing = keys.entries.get(key);
        if (existing != null) {
            return verdict(existing, fingerprint);
        }
        Failure refusal = refusalOfUnseen(keys, key);
        if (refusal != null) {
            return new KeyVerdict.Refused(refusal);
        }
        if (isFull(keys)) {
            raiseFloor(keys);
            return new KeyVerdict.Refused(Failure.notRun(ErrorType.KEY_LIMIT, limits.skewMs(), customer.name()));
        }
        KeyEntry started = new KeyEntry(key, keys, KeyState.WAITING, fingerprint, requestId);
        add(started);
        byRequest.put(requestId, started);
        return new KeyVerdict.Start();
    }

    /**
     * Returns the state of a key for an attempt at another instance. A key that has not started is marked dead, so that
     * the "not run" reported by the other instance remains true.
     */
    public KeyState query(CustomerId customer, RequestKey key, long queriedAtMs) {
        advanceClock(queriedAtMs);
        CustomerKeys keys = keys(customer);
        KeyEntry existing = keys.entries.get(key);
        if (existing != null) {
            return existing.state;
        }
        if (isPastMemory(key) || isFromFuture(key)) {
            return KeyState.FORGOTTEN;
        }
        if (mayStart(keys, key)) {
            markDead(keys, key);
        }
        return KeyState.NEVER_SEEN;
    }

    /**
     * Returns the failure to report for a rejected attempt that carries a key. A "not run" marks the key dead; if
     * another attempt of the same request has started, the failure becomes "unknown".
     */
    public Failure refuse(CustomerId customer, RequestKey key, Failure failure, long refusedAtMs) {
        if (failure.run() != RunState.NOT_RUN) {
            return failure;
        }
        KeyState state = query(customer, key, refusedAtMs);
        boolean notRun = state == KeyState.NEVER_SEEN || state == KeyState.DEAD;
        return notRun
                ? failure
                : new Failure(failure.type(), RunState.UNKNOWN, failure.retryAfterMs(), failure.detail());
    }

    /** Records that a request was sent to a target. */
    public void sent(long requestId) {
        advanceState(requestId, KeyState.SENT);
    }

    /** Records that the response head of a request has arrived. */
    public void responseStarted(long requestId) {
        advanceState(requestId, KeyState.ANSWERING);
    }

    /** @param notRun whether the request ended without an execution, which marks its key dead */
    public void ended(long requestId, boolean notRun, long endedAtMs) {
        advanceClock(endedAtMs);
        KeyEntry entry = byRequest.get(requestId);
        if (entry == null) {
            return;
        }
        entry.state = notRun ? KeyState.DEAD : KeyState.ENDED;
        entry.endedMs = nowMs;
        if (notRun) {
            byRequest.remove(requestId);
        }
    }

    /** Records that the response of an ended request is no longer kept. */
    public void responseDropped(long requestId) {
        KeyEntry entry = byRequest.remove(requestId);
        if (entry != null) {
            entry.responseKept = false;
        }
    }

    /** Evicts expired keys; returns the ended requests whose responses need not be kept any longer. */
    public List<Long> expire(long atMs) {
        advanceClock(atMs);
        List<Long> dropped = new ArrayList<>();
        for (CustomerKeys keys : keysByCustomer.values()) {
            keys.entries.values().removeIf(entry -> expire(entry, dropped));
        }
        keysByCustomer.values().removeIf(keys -> keys.entries.isEmpty() && isPastStartWindow(keys.floorS));
        return dropped;
    }

    private boolean expire(KeyEntry entry, List<Long> dropped) {
        if (!entry.hasEnded()) {
            return false;
        }
        boolean replayExpired = nowMs - entry.endedMs >= limits.replayMs();
        if (replayExpired && byRequest.remove(entry.requestId, entry)) {
            entry.responseKept = false;
            dropped.add(entry.requestId);
        }
        if (!replayExpired || !isPastMemory(entry.key)) {
            return false;
        }
        size--;
        return true;
    }

    private KeyVerdict verdict(KeyEntry existing, long fingerprint) {
        if (existing.state == KeyState.DEAD) {
            return new KeyVerdict.Refused(Failure.notRun(ErrorType.KEY_DEAD, 0, ""));
        }
        if (existing.fingerprint != fingerprint) {
            // "Not run" is true for this attempt's content: a key runs only the content that it was first presented
            // with.
            return new KeyVerdict.Refused(Failure.notRun(ErrorType.KEY_IN_USE, 0, ""));
        }
        if (existing.state != KeyState.ENDED) {
            return new KeyVerdict.Attach(existing.requestId);
        }
        return existing.responseKept
                ? new KeyVerdict.Replay(existing.requestId)
                : new KeyVerdict.Refused(Failure.unknown(ErrorType.ANSWER_NOT_KEPT, ""));
    }

    private @Nullable Failure refusalOfUnseen(CustomerKeys keys, RequestKey key) {
        if (isPastMemory(key)) {
            return Failure.unknown(ErrorType.KEY_OUTCOME_UNKNOWN, "");
        }
        if (isFromFuture(key)) {
            // The key may start once this clock has caught up, so "not run" could become false.
            return Failure.unknown(ErrorType.KEY_OUTCOME_UNKNOWN, "");
        }
        return mayStart(keys, key) ? null : Failure.notRun(ErrorType.KEY_DEAD, 0, "");
    }

    private boolean mayStart(CustomerKeys keys, RequestKey key) {
        return !isPastStartWindow(key.issuedS()) && key.issuedS() > keys.floorS;
    }

    private boolean isPastStartWindow(long issuedS) {
        return ageMs(issuedS) > limits.startWindowMs();
    }

    private boolean isPastMemory(RequestKey key) {
        return ageMs(key.issuedS()) > limits.memoryMs();
    }

    private boolean isFromFuture(RequestKey key) {
        return ageMs(key.issuedS()) < -limits.skewMs();
    }

    private long ageMs(long issuedS) {
        // Compares in seconds first, since a forged time could overflow in milliseconds.
        long nowS = TimeUnit.MILLISECONDS.toSeconds(nowMs);
        if (issuedS > nowS + TimeUnit.DAYS.toSeconds(1)) {
            return Long.MIN_VALUE;
        }
        return nowMs - TimeUnit.SECONDS.toMillis(issuedS);
    }

    private boolean isFull(CustomerKeys keys) {
        return size >= limits.maxKeys() || keys.entries.size() >= limits.maxCustomerKeys();
    }

    private void markDead(CustomerKeys keys, RequestKey key) {
        if (isFull(keys)) {
            raiseFloor(keys);
            return;
        }
        KeyEntry dead = new KeyEntry(key, keys, KeyState.DEAD, 0, 0);
        dead.endedMs = nowMs;
        add(dead);
    }

    /** Makes every unseen key of the customer dead that may have been issued until now. */
    private void raiseFloor(CustomerKeys keys) {
        keys.floorS = Math.max(keys.floorS, TimeUnit.MILLISECONDS.toSeconds(nowMs + limits.skewMs()));
    }

    private void add(KeyEntry entry) {
        entry.keys.entries.put(entry.key, entry);
        size++;
    }

    private void advanceState(long requestId, KeyState state) {
        KeyEntry entry = byRequest.get(requestId);
        if (entry != null && !entry.hasEnded()) {
            entry.state = state;
        }
    }

    private CustomerKeys keys(CustomerId customer) {
        return keysByCustomer.computeIfAbsent(customer, ignored -> new CustomerKeys());
    }

    private void advanceClock(long toMs) {
        nowMs = Math.max(nowMs, toMs);
    }

    /** Keys and floor of one customer. */
    private static final class CustomerKeys {
        private final Map<RequestKey, KeyEntry> entries = new HashMap<>();
        private long floorS;
    }

    /** State of one key. */
    private static final class KeyEntry {
        private final RequestKey key;
        private final CustomerKeys keys;
        private final long fingerprint;
        private final long requestId;
        private KeyState state;
        private long endedMs;
        private boolean responseKept = true;

        KeyEntry(RequestKey key, CustomerKeys keys, KeyState state, long fingerprint, long requestId) {
            this.key = key;
            this.keys = keys;
            this.state = state;
            this.fingerprint = fingerprint;
            this.requestId = requestId;
        }

        private boolean hasEnded() {
            return state == KeyState.ENDED || state == KeyState.DEAD;
        }
    }
}
