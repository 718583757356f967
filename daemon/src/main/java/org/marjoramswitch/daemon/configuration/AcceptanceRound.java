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
 * A single acceptance round against the key-value store: reads the accepted settings, the drafts and the refusals;
 * decides; publishes the next generation; writes the refusals that changed. Any failed call ends the round. The next
 * round starts by reading, which also shows whether a write whose response was lost took effect.
 *
 * <p>Correctness: the accepted settings are read before the drafts, see {@link SettingsAcceptor}. Each write is a
 * compare-and-swap on the revisions that the round has read, so a round that was paused for a long time changes
 * nothing: a publication fails on the head's revision, a refusal on the revision of the head or of one of the team's
 * drafts.
 */
final class AcceptanceRound {
    private static final KeyValueLog LOG = KeyValueLog.of(AcceptanceRound.class);
    private static final long NO_LEASE = 0;
    private static final long ABSENT = 0;

    private final LoopContext context;
    private final StoreCalls calls;
    private final RepairDelay repairDelay;
    private final boolean readsDrafts;
    private final EndListener endListener;
    private final Map<String, String> acceptedByKey = new HashMap<>();
    private final List<Draft> drafts = new ArrayList<>();
    private final SortedMap<String, SortedMap<String, Long>> draftRevisions = new TreeMap<>();
    private final Deque<RefusalWrite> refusalWrites = new ArrayDeque<>();
    private AcceptedTree stored = AcceptedTree.NONE;
    private long headRevision = ABSENT;
    private long draftsRevision = ABSENT;
    private Cause cause = Cause.DRAFTS;
    private long progressMs;
    private boolean ended;

    private AcceptanceRound(
            LoopContext context,
            StoreCalls calls,
            RepairDelay repairDelay,
            boolean readsDrafts,
            EndListener endListener,
            long nowMs) {
        this.context = context;
        this.calls = calls;
        this.repairDelay = repairDelay;
        this.readsDrafts = readsDrafts;
        this.endListener = endListener;
        this.progressMs = nowMs;
    }

    /**
     * Starts a round.
     *
     * @param readsDrafts false if the round only reads the accepted settings
     * @param endListener called once when the round ends, unless it is abandoned
     */
    static AcceptanceRound start(
            LoopContext context,
            StoreCalls calls,
            RepairDelay repairDelay,
            boolean readsDrafts,
            EndListener endListener,
            long nowMs) {
        AcceptanceRound round = new AcceptanceRound(context, calls, repairDelay, readsDrafts, endListener, nowMs);
        context.metrics().rounds().inc();
        round.call(context.store().range(SettingsKeys.ACCEPTED), round::onAccepted);
        return round;
    }

    /** Ends the round without notifying the listener; outstanding replies are ignored. */
    void abandon() {
        ended = true;
    }

    /** Whether the round also reads the drafts. */
    boolean readsDrafts() {
        return readsDrafts;
    }

    /** The time at which the round started or last received a reply. */
    long progressMs() {
        return progressMs;
    }

    /** The revision of the head as last read or written; 0 if there is none. */
    long headRevision() {
        return headRevision;
    }

    /** The store revision at which the drafts were read. */
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
        stored = AcceptedTree.fromStore(acceptedByKey);
        if (stored.generation() > 0) {
            adopt(stored, "platform");
        }
        if (!readsDrafts) {
            end(Result.DONE, nowMs);
            return;
        }
        call(context.store().range(SettingsKeys.DRAFTS), this::onDrafts);
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
        call(context.store().range(SettingsKeys.REFUSALS), this::onRefusals);
    }

    private void onRefusals(KeyValueStore.Range range, long revision, long nowMs) {
        AcceptedTree held = activeSettings().tree();
        long highestSeen = activeSettings().highestSeen();
        cause = Cause.of(stored, held, highestSeen);
        if (repairDelay.mustWait(cause != Cause.DRAFTS, nowMs)) {
            end(Result.AGAIN, nowMs);
            return;
        }
        Acceptance acceptance = SettingsAcceptor.decide(stored, held, highestSeen, drafts);
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
        // Comparing the head is enough because every transaction that writes a body also writes the head.
        var swap = context.store().compareAndSwap(Map.of(SettingsKeys.HEAD, headRevision), puts, deletes, NO_LEASE);
        call(swap, (done, revision, nowMs) -> onPublished(next, done, revision, nowMs));
    }

    private void onPublished(AcceptedTree next, boolean done, long revision, long nowMs) {
        if (!done) {
            context.metrics().publicationsLost().inc();
            end(Result.AGAIN, nowMs);
            return;
        }
        headRevision = revision;
        context.metrics().publications().inc();
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
                stored.generation());
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
        var swap = context.store().compareAndSwap(expected, write.puts(), write.deletes(), NO_LEASE);
        call(swap, (done, revision, replyMs) -> onRefusalWritten(write, done, replyMs));
    }

    private void onRefusalWritten(RefusalWrite write, boolean done, long nowMs) {
        if (!done) {
            end(Result.AGAIN, nowMs);
            return;
        }
        context.metrics().refusalsWritten().inc();
        write.log(LOG);
        writeRefusals(nowMs);
    }

    private ActiveSettings activeSettings() {
        return context.activeSettings();
    }

    private void adopt(AcceptedTree tree, String source) {
        activeSettings().adopt(tree.generation(), tree.head().digest(), tree.bodyByTeam(), source);
    }

    private <T extends @Nullable Object> void call(CompletableFuture<KeyValueResult<T>> call, Step<T> step) {
        calls.then(call, (result, nowMs) -> {
            if (ended) {
                return;
            }
            progressMs = nowMs;
            if (result instanceof KeyValueResult.Answered<T> answered) {
                step.onValue(answered.value(), answered.revision(), nowMs);
                return;
            }
            context.metrics().callsFailed().inc();
            LOG.warn("settings_call_failed", "result", result);
            end(Result.FAILED, nowMs);
        });
    }

    private void end(Result result, long nowMs) {
        ended = true;
        endListener.onEnd(result, nowMs);
    }

    /** The outcome of a round. */
    enum Result {
        /** The round is complete. */
        DONE,
        /** Another acceptor wrote first, or a repair has to wait: read again soon. */
        AGAIN,
        /** A call failed: read again after a delay. */
        FAILED
    }

    /** The reason for publishing a generation; its lower-case name is logged. */
    private enum Cause {
        /** Drafts changed. */
        DRAFTS,
        /** The store has lost a generation that this instance holds. */
        SERVICE_RESTORED,
        /** The store has lost an announced generation that no peer has delivered. */
        GENERATION_LOST;

        static Cause of(AcceptedTree stored, AcceptedTree held, long highestSeen) {
            if (SettingsAcceptor.isRestored(stored, held)) {
                return SERVICE_RESTORED;
            }
            return highestSeen > stored.generation() ? GENERATION_LOST : DRAFTS;
        }
    }

    /** Receives the outcome of a round. */
    @FunctionalInterface
    interface EndListener {
        void onEnd(Result result, long nowMs);
    }

    /** Continues the round with the value of a successful call. */
    @FunctionalInterface
    private interface Step<T extends @Nullable Object> {
        void onValue(T value, long revision, long nowMs);
    }
}
