package org.marjoramswitch.daemon.configuration;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.daemon.platform.KeyValueResult;
import org.marjoramswitch.daemon.platform.KeyValueStore;
import org.marjoramswitch.kernel.configuration.Acceptance;
import org.marjoramswitch.kernel.configuration.AcceptedTree;
import org.marjoramswitch.kernel.configuration.Draft;
import org.marjoramswitch.kernel.configuration.SettingsAcceptor;
import org.marjoramswitch.kernel.configuration.SettingsKeys;

/**
 * One pass over the platform's service: read what is accepted, then the drafts, then the refusals; decide; publish;
 * write the refusals that changed. Any call that fails ends the round, and the next one begins by reading: that alone
 * settles a write whose answer was lost, as it shows whether the write took effect.
 *
 * <p>The accepted settings are read before the drafts; {@link SettingsAcceptor} says why the order matters. Each
 * write is a compare-and-swap on what the round has read, so a round that was paused for long changes nothing: the
 * publication fails on the head's revision, a refusal on the head's or on one of the team's drafts'.
 */
final class AcceptanceRound {
    private static final KeyValueLog LOG = KeyValueLog.of(AcceptanceRound.class);
    private static final long NO_LEASE = 0;
    private static final long ABSENT = 0;

    private final LoopContext parts;
    private final StoreCalls calls;
    private final RepairDelay repairDelay;
    private final boolean accepts;
    private final Ending ending;
    private final Map<String, String> acceptedByKey = new HashMap<>();
    private final List<Draft> drafts = new ArrayList<>();
    private final SortedMap<String, SortedMap<String, Long>> draftRevisions = new TreeMap<>();
    private final Deque<RefusalWrite> refusalWrites = new ArrayDeque<>();
    private AcceptedTree recorded = AcceptedTree.NONE;
    private long headRevision = ABSENT;
    private long draftsRevision = ABSENT;
    private Cause cause = Cause.DRAFTS;
    private long progressMs;
    private boolean over;

    private AcceptanceRound(
            LoopContext parts, StoreCalls calls, RepairDelay repairDelay, boolean accepts, Ending ending, long nowMs) {
        this.parts = parts;
        this.calls = calls;
        this.repairDelay = repairDelay;
        this.accepts = accepts;
        this.ending = ending;
        this.progressMs = nowMs;
    }

    /**
     * Begins a round.
     *
     * @param accepts false where the round only reads what is accepted
     * @param ending hears once of its end
     */
    static AcceptanceRound start(
            LoopContext parts, StoreCalls calls, RepairDelay repairDelay, boolean accepts, Ending ending, long nowMs) {
        AcceptanceRound round = new AcceptanceRound(parts, calls, repairDelay, accepts, ending, nowMs);
        parts.metrics().rounds().inc();
        round.call(parts.store().range(SettingsKeys.ACCEPTED), round::onAccepted);
        return round;
    }

    /** Ends the round without a word; replies that are still to come are passed over. */
    void abandon() {
        over = true;
    }

    /** Whether the round reads the drafts, too. */
    boolean accepts() {
        return accepts;
    }

    /** When the round began or was last answered. */
    long progressMs() {
        return progressMs;
    }

    /** The head's revision as read or written last, 0 where there is none. */
    long headRevision() {
        return headRevision;
    }

    /** The revision that the drafts were read at. */
    long draftsRevision() {
        return draftsRevision;
    }

    private void onAccepted(KeyValueStore.Range range, long revision, long nowMs) {
        for (KeyValueStore.Entry entry : range.entries()) {
            acceptedByKey.put(entry.key(), entry.value());
            if (entry.key().equals(SettingsKeys.HEAD)) {
                headRevision = entry.modRevision();
            }
        }
        recorded = AcceptedTree.fromStore(acceptedByKey);
        if (recorded.generation() > 0) {
            adopt(recorded, "platform");
        }
        if (!accepts) {
            end(Result.DONE, nowMs);
            return;
        }
        call(parts.store().range(SettingsKeys.DRAFTS), this::onDrafts);
    }

    private void onDrafts(KeyValueStore.Range range, long revision, long nowMs) {
        draftsRevision = range.revision();
        for (KeyValueStore.Entry entry : range.entries()) {
            Draft draft = Draft.of(entry.key(), entry.value(), entry.modRevision());
            if (draft == null) {
                LOG.warn("settings_ignored", "key", entry.key(), "reason", "not a key of a team's document");
                continue;
            }
            drafts.add(draft);
            draftRevisions
                    .computeIfAbsent(draft.team(), team -> new TreeMap<>())
                    .put(draft.document(), draft.modRevision());
        }
        call(parts.store().range(SettingsKeys.REFUSALS), this::onRefusals);
    }

    private void onRefusals(KeyValueStore.Range range, long revision, long nowMs) {
        AcceptedTree held = inForce().tree();
        long highestSeen = inForce().highestSeen();
        cause = Cause.of(recorded, held, highestSeen);
        if (repairDelay.mustWait(cause != Cause.DRAFTS, nowMs)) {
            end(Result.AGAIN, nowMs);
            return;
        }
        Acceptance acceptance = SettingsAcceptor.decide(recorded, held, highestSeen, drafts);
        refusalWrites.addAll(RefusalWrite.plan(range.entries(), acceptance.refusals(), draftRevisions));
        AcceptedTree next = acceptance.next();
        if (next == null) {
            writeRefusals(nowMs);
            return;
        }
        publish(next);
    }

    private void publish(AcceptedTree next) {
        Map<String, String> puts = new TreeMap<>();
        next.bodyByTeam().forEach((team, body) -> puts.put(SettingsKeys.body(team), body));
        puts.put(SettingsKeys.HEAD, next.head().toJson());
        List<String> deletes = acceptedByKey.keySet().stream()
                .filter(key -> !puts.containsKey(key))
                .sorted()
                .toList();
        puts.entrySet().removeIf(put -> put.getValue().equals(acceptedByKey.get(put.getKey())));
        // The head alone is compared: whoever writes a body writes the head in the same transaction.
        var swap = parts.store().compareAndSwap(Map.of(SettingsKeys.HEAD, headRevision), puts, deletes, NO_LEASE);
        call(swap, (done, revision, nowMs) -> onPublished(next, done, revision, nowMs));
    }

    private void onPublished(AcceptedTree next, boolean done, long revision, long nowMs) {
        if (!done) {
            parts.metrics().publicationsLost().inc();
            end(Result.AGAIN, nowMs);
            return;
        }
        headRevision = revision;
        parts.metrics().publications().inc();
        LOG.info(
                "settings_accepted",
                "generation",
                next.generation(),
                "digest",
                next.head().digest(),
                "reason",
                cause.name().toLowerCase(Locale.ROOT),
                "teams",
                String.join(",", next.bodiesAfter(next.generation() - 1).keySet()),
                "after_generation",
                recorded.generation());
        adopt(next, "own");
        writeRefusals(nowMs);
    }

    private void writeRefusals(long nowMs) {
        RefusalWrite write = refusalWrites.poll();
        if (write == null) {
            end(Result.DONE, nowMs);
            return;
        }
        Map<String, Long> expected = new TreeMap<>(write.expectedRevisions());
        expected.put(SettingsKeys.HEAD, headRevision);
        var swap = parts.store().compareAndSwap(expected, write.puts(), write.deletes(), NO_LEASE);
        call(swap, (done, revision, replyMs) -> onRefusalWritten(write, done, replyMs));
    }

    private void onRefusalWritten(RefusalWrite write, boolean done, long nowMs) {
        if (!done) {
            end(Result.AGAIN, nowMs);
            return;
        }
        parts.metrics().refusalsWritten().inc();
        write.log(LOG);
        writeRefusals(nowMs);
    }

    private ActiveSettings inForce() {
        return parts.inForce();
    }

    private void adopt(AcceptedTree tree, String source) {
        inForce().adopt(tree.generation(), tree.head().digest(), tree.bodyByTeam(), source);
    }

    private <T extends @Nullable Object> void call(CompletableFuture<KeyValueResult<T>> call, Step<T> step) {
        calls.then(call, (result, nowMs) -> {
            if (over) {
                return;
            }
            progressMs = nowMs;
            if (result instanceof KeyValueResult.Answered<T> answered) {
                step.on(answered.value(), answered.revision(), nowMs);
                return;
            }
            parts.metrics().callsFailed().inc();
            LOG.warn("settings_call_failed", "result", result);
            end(Result.FAILED, nowMs);
        });
    }

    private void end(Result result, long nowMs) {
        over = true;
        ending.on(result, nowMs);
    }

    /** How a round ended. */
    enum Result {
        /** All that was to do is done. */
        DONE,
        /** Another acceptor was faster, or a repair has to wait: read again soon. */
        AGAIN,
        /** A call had no usable answer: read again after a pause. */
        FAILED
    }

    /** Why a generation is published. */
    private enum Cause {
        /** Drafts changed. */
        DRAFTS,
        /** The service has lost a generation that this instance holds. */
        SERVICE_RESTORED,
        /** The service has lost a generation that was announced and that nobody has passed on. */
        GENERATION_LOST;

        static Cause of(AcceptedTree recorded, AcceptedTree held, long highestSeen) {
            if (SettingsAcceptor.isRestored(recorded, held)) {
                return SERVICE_RESTORED;
            }
            return highestSeen > recorded.generation() ? GENERATION_LOST : DRAFTS;
        }
    }

    /** Hears of a round's end. */
    @FunctionalInterface
    interface Ending {
        void on(Result result, long nowMs);
    }

    /** What follows an answered call. */
    @FunctionalInterface
    private interface Step<T extends @Nullable Object> {
        void on(T value, long revision, long nowMs);
    }
}
