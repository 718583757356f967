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
 * The book that a home instance keeps of the request keys that name it: at most one execution for each key, and no "not
 * run" for a key that ran or will run.
 *
 * <p><b>Idea.</b> Only the home instance may begin a key's request, and it begins it when the key is first presented.
 * Every later try finds the entry: it follows the running answer, gets the ended one again, or is told what is known. A
 * "not run" is a promise for the future too, because an earlier try may still be under way in the network; so whoever is
 * told "not run" of a key has that key marked dead first, and a dead key never begins.
 *
 * <p><b>Bounds.</b> A book of every key ever seen cannot be kept, so the key itself says when its prefix was handed out.
 * A key begins a request only within the start window after that; it is remembered for longer, the memory time. So
 * three ages can be told apart without a memory: young (unseen means new), middle (unseen means never begun, and it
 * never will be: "not run") and old (unseen may mean forgotten: "unknown"). The book is bounded by count as well: where
 * it is full, the customer that brings one more is refused, and instead of one entry for each refused key one number
 * for the customer, the floor, makes every unseen key handed out until now dead. Only a customer with too many keys
 * meets its floor.
 *
 * <p><b>Time.</b> Ages compare the clocks of two instances. A clock that goes back would make old keys young again and
 * a forgotten one would run twice, so the registry's time is the latest it was ever told. Clocks that differ cost
 * refusals, never a second execution.
 *
 * <p><b>Customers</b> have books of their own: another customer's key is unseen, so nobody can attach to what is not
 * theirs or learn that it exists.
 *
 * <p><b>Example.</b> A caller's connection breaks after it sent its request with key K to its home A. It tries again at
 * B, which asks A. Had the first try reached A, A answers ANSWERING and B sends the caller there, where it gets the
 * whole answer. If not, A marks K dead and answers NEVER_SEEN; B says "not run". The first try, still queued in A's
 * socket, is read a moment later and refused as dead: the "not run" stays true.
 *
 * <p><b>Cost.</b> A hash lookup for each call; {@link #expire} walks the book. Not thread-safe.
 */
public final class KeyRegistry {
    private final KeyLimits limits;
    private final Map<CustomerId, Book> books = new HashMap<>();
    private final Map<Long, Entry> byRequest = new HashMap<>();
    private int size;
    private long nowMs = Long.MIN_VALUE;

    private KeyRegistry(KeyLimits limits) {
        this.limits = limits;
    }

    public static KeyRegistry create(KeyLimits limits) {
        return new KeyRegistry(limits);
    }

    /** Keys remembered. */
    public int size() {
        return size;
    }

    /**
     * A try presents a key of this home and incarnation.
     *
     * @param fingerprint of what is to be executed; the same key with another one is refused
     * @param requestId the id that the request gets if it starts
     */
    public KeyVerdict present(
            CustomerId customer, RequestKey key, long fingerprint, long requestId, long presentedAtMs) {
        advance(presentedAtMs);
        Book book = book(customer);
        Entry known = book.entries.get(key);
        if (known != null) {
            return verdict(known, fingerprint);
        }
        Failure refusal = refusalOfUnseen(book, key);
        if (refusal != null) {
            return new KeyVerdict.Refused(refusal);
        }
        if (isFull(book)) {
            raiseFloor(book);
            return new KeyVerdict.Refused(Failure.notRun(ErrorType.KEY_LIMIT, limits.skewMs(), customer.name()));
        }
        Entry begun = new Entry(key, book, KeyState.WAITING, fingerprint, requestId);
        add(begun);
        byRequest.put(requestId, begun);
        return new KeyVerdict.Start();
    }

    /**
     * What became of a key, asked on behalf of a try elsewhere. A key that has not begun is dead afterwards, so that
     * the "not run" which the asker will say stays true.
     */
    public KeyState query(CustomerId customer, RequestKey key, long askedAtMs) {
        advance(askedAtMs);
        Book book = book(customer);
        Entry known = book.entries.get(key);
        if (known != null) {
            return known.state;
        }
        if (isForgettable(key) || isAhead(key)) {
            return KeyState.FORGOTTEN;
        }
        if (mayStart(book, key)) {
            markDead(book, key);
        }
        return KeyState.NEVER_SEEN;
    }

    /**
     * A refusal of a try that carries a key, as it may be told: where the refusal says "not run", the key is dead from
     * now on, or else the refusal says "unknown" because another try of the same request has begun.
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

    /** A request was sent to a target. */
    public void sent(long requestId) {
        move(requestId, KeyState.SENT);
    }

    /** The head of a request's answer has come. */
    public void responseStarted(long requestId) {
        move(requestId, KeyState.ANSWERING);
    }

    /** @param notRun whether the request ended without an execution; its key is dead then */
    public void ended(long requestId, boolean notRun, long endedAtMs) {
        advance(endedAtMs);
        Entry entry = byRequest.get(requestId);
        if (entry == null) {
            return;
        }
        entry.state = notRun ? KeyState.DEAD : KeyState.ENDED;
        entry.endedMs = nowMs;
        if (notRun) {
            byRequest.remove(requestId);
        }
    }

    /** The answer of an ended request is not kept any longer. */
    public void responseDropped(long requestId) {
        Entry entry = byRequest.remove(requestId);
        if (entry != null) {
            entry.answerKept = false;
        }
    }

    /** Forgets what is old enough; answers the ended requests whose answers need not be kept any longer. */
    public List<Long> expire(long atMs) {
        advance(atMs);
        List<Long> dropped = new ArrayList<>();
        for (Book book : books.values()) {
            book.entries.values().removeIf(entry -> expire(entry, dropped));
        }
        books.values().removeIf(book -> book.entries.isEmpty() && isBelowStart(book.floorS));
        return dropped;
    }

    private boolean expire(Entry entry, List<Long> dropped) {
        if (!entry.isOver()) {
            return false;
        }
        boolean replayOver = nowMs - entry.endedMs >= limits.replayMs();
        if (replayOver && byRequest.remove(entry.requestId, entry)) {
            entry.answerKept = false;
            dropped.add(entry.requestId);
        }
        if (!replayOver || !isForgettable(entry.key)) {
            return false;
        }
        size--;
        return true;
    }

    private KeyVerdict verdict(Entry known, long fingerprint) {
        if (known.state == KeyState.DEAD) {
            return new KeyVerdict.Refused(Failure.notRun(ErrorType.KEY_DEAD, 0, ""));
        }
        if (known.fingerprint != fingerprint) {
            // Not run is true of what this try brought: the key runs what it was first presented with, or nothing.
            return new KeyVerdict.Refused(Failure.notRun(ErrorType.KEY_IN_USE, 0, ""));
        }
        if (known.state != KeyState.ENDED) {
            return new KeyVerdict.Attach(known.requestId);
        }
        return known.answerKept
                ? new KeyVerdict.Replay(known.requestId)
                : new KeyVerdict.Refused(Failure.unknown(ErrorType.ANSWER_NOT_KEPT, ""));
    }

    private @Nullable Failure refusalOfUnseen(Book book, RequestKey key) {
        if (isForgettable(key)) {
            return Failure.unknown(ErrorType.KEY_OUTCOME_UNKNOWN, "");
        }
        if (isAhead(key)) {
            // It may begin once this clock has come as far, so "not run" would not be a promise.
            return Failure.unknown(ErrorType.KEY_OUTCOME_UNKNOWN, "");
        }
        return mayStart(book, key) ? null : Failure.notRun(ErrorType.KEY_DEAD, 0, "");
    }

    private boolean mayStart(Book book, RequestKey key) {
        return !isBelowStart(key.issuedS()) && key.issuedS() > book.floorS;
    }

    private boolean isBelowStart(long issuedS) {
        return ageMs(issuedS) > limits.startWindowMs();
    }

    private boolean isForgettable(RequestKey key) {
        return ageMs(key.issuedS()) > limits.memoryMs();
    }

    private boolean isAhead(RequestKey key) {
        return ageMs(key.issuedS()) < -limits.skewMs();
    }

    private long ageMs(long issuedS) {
        // Compared in seconds first: a forged time must not overflow.
        long nowS = TimeUnit.MILLISECONDS.toSeconds(nowMs);
        if (issuedS > nowS + TimeUnit.DAYS.toSeconds(1)) {
            return Long.MIN_VALUE;
        }
        return nowMs - TimeUnit.SECONDS.toMillis(issuedS);
    }

    private boolean isFull(Book book) {
        return size >= limits.maxKeys() || book.entries.size() >= limits.maxCustomerKeys();
    }

    private void markDead(Book book, RequestKey key) {
        if (isFull(book)) {
            raiseFloor(book);
            return;
        }
        Entry dead = new Entry(key, book, KeyState.DEAD, 0, 0);
        dead.endedMs = nowMs;
        add(dead);
    }

    /** Makes every unseen key of the customer dead that may have been handed out until now. */
    private void raiseFloor(Book book) {
        book.floorS = Math.max(book.floorS, TimeUnit.MILLISECONDS.toSeconds(nowMs + limits.skewMs()));
    }

    private void add(Entry entry) {
        entry.book.entries.put(entry.key, entry);
        size++;
    }

    private void move(long requestId, KeyState state) {
        Entry entry = byRequest.get(requestId);
        if (entry != null && !entry.isOver()) {
            entry.state = state;
        }
    }

    private Book book(CustomerId customer) {
        return books.computeIfAbsent(customer, ignored -> new Book());
    }

    private void advance(long toMs) {
        nowMs = Math.max(nowMs, toMs);
    }

    /** One customer's keys. */
    private static final class Book {
        private final Map<RequestKey, Entry> entries = new HashMap<>();
        private long floorS;
    }

    /** What is remembered of one key. */
    private static final class Entry {
        private final RequestKey key;
        private final Book book;
        private final long fingerprint;
        private final long requestId;
        private KeyState state;
        private long endedMs;
        private boolean answerKept = true;

        Entry(RequestKey key, Book book, KeyState state, long fingerprint, long requestId) {
            this.key = key;
            this.book = book;
            this.state = state;
            this.fingerprint = fingerprint;
            this.requestId = requestId;
        }

        private boolean isOver() {
            return state == KeyState.ENDED || state == KeyState.DEAD;
        }
    }
}
