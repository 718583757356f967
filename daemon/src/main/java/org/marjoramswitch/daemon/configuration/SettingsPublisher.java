package org.marjoramswitch.daemon.configuration;

import java.util.List;
import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.daemon.platform.KeyValueResult;
import org.marjoramswitch.daemon.platform.KeyValueStore;
import org.marjoramswitch.kernel.configuration.AcceptedHead;
import org.marjoramswitch.kernel.configuration.AcceptedTree;
import org.marjoramswitch.kernel.configuration.AcceptorRoles;
import org.marjoramswitch.kernel.configuration.SettingsKeys;
import org.marjoramswitch.kernel.model.FleetView;
import org.marjoramswitch.kernel.model.InstanceId;

/**
 * Schedules this instance's rounds against the key-value store.
 *
 * <p>An acceptor watches the drafts. For each change the acceptors are ranked by a hash of the change: the first starts
 * a round at once, each further one a little later and only if it has not received a generation that considers the
 * change by then. So a change normally costs the store one round however many acceptors there are, and some hundred
 * milliseconds more if the first acceptors are down or paused.
 *
 * <p>A watch may become silent without an error. It also stays silent for a long time if the store is restored from a
 * backup and the watch waits for a revision that has not been reached again. So an acceptor polls the head every few
 * seconds, which also returns the store's revision. A lower revision than before, or a head that does not match the
 * held generation, starts a round. A higher revision without an event from the watch re-opens the watch from the last
 * revision that it is known to cover.
 *
 * <p>An instance without settings reads the accepted ones even if it is not an acceptor, until it has received settings
 * from the store or from a peer.
 */
final class SettingsPublisher implements DraftWatch.Listener {
    private static final KeyValueLog LOG = KeyValueLog.of(SettingsPublisher.class);
    private static final long NEVER = Long.MAX_VALUE;
    private static final int MAX_DOUBLINGS = 10;

    private final LoopContext context;
    private final StoreCalls calls;
    private final SplittableRandom random;
    private final RepairDelay repairDelay;
    private final DraftWatch watch;
    private List<InstanceId> acceptors = List.of();
    private boolean acceptor;
    private @Nullable AcceptanceRound round;
    private long readAtMs;
    private long takeoverAtMs = NEVER;
    private long pollAtMs = NEVER;
    private int failures;
    private long knownRevision;
    private long headRevision;

    private SettingsPublisher(LoopContext context, SplittableRandom random) {
        this.context = context;
        this.calls = StoreCalls.of(context.inbox());
        this.random = random;
        this.repairDelay = RepairDelay.of(context.options().repairAfterMs());
        this.watch = DraftWatch.of(context, this);
    }

    static SettingsPublisher of(LoopContext context, SplittableRandom random) {
        SettingsPublisher publisher = new SettingsPublisher(context, random);
        context.activeSettings().onAdopted(publisher::onAdopted);
        return publisher;
    }

    void onView(FleetView view, long nowMs) {
        acceptors = AcceptorRoles.acceptors(view, context.options().acceptorsPerDataCentre());
        boolean accepts = acceptors.contains(context.self());
        if (accepts == acceptor) {
            return;
        }
        acceptor = accepts;
        LOG.info("settings_acceptor", "accepts", accepts, "acceptors", acceptors.size());
        if (accepts) {
            readAtMs = nowMs;
            pollAtMs = nowMs + pollDelayMs();
            return;
        }
        watch.close();
        pollAtMs = NEVER;
        takeoverAtMs = NEVER;
        readAtMs = hasNoSettings() ? nowMs : NEVER;
    }

    void tick(long nowMs) {
        if (watch.getAndClearOverflow()) {
            readAtMs = nowMs;
        }
        if (round != null && nowMs - round.progressMs() >= context.options().callTimeoutMs()) {
            // The reply was dropped because the inbox was full: the store client's own timeout is shorter, so the call
            // has already ended.
            round.abandon();
            onRoundEnded(AcceptanceRound.Result.FAILED, nowMs);
        }
        if (round == null && nowMs >= Math.min(readAtMs, takeoverAtMs)) {
            startRound(nowMs);
        }
        if (nowMs >= pollAtMs) {
            poll(nowMs);
        }
    }

    long nextDueMs() {
        long roundMs = round == null
                ? Math.min(readAtMs, takeoverAtMs)
                : round.progressMs() + context.options().callTimeoutMs();
        return Math.min(roundMs, pollAtMs);
    }

    void close() {
        watch.close();
        if (round != null) {
            round.abandon();
        }
    }

    @Override
    public void onChange(String change, long nowMs) {
        int rank = AcceptorRoles.rank(acceptors, context.self(), change);
        takeoverAtMs = Math.min(takeoverAtMs, nowMs + rank * context.options().takeoverDelayMs());
    }

    @Override
    public void onBroken(long nowMs) {
        // The end of the round re-opens the watch from the revision that the round has read.
        readAtMs = Math.min(readAtMs, nowMs + retryDelayMs());
    }

    private void startRound(long nowMs) {
        // If the start throws an exception, the next attempt waits for this time instead of following immediately.
        readAtMs = nowMs + context.options().callTimeoutMs();
        takeoverAtMs = NEVER;
        round = AcceptanceRound.start(context, calls, repairDelay, acceptor, this::onRoundEnded, nowMs);
        readAtMs = NEVER;
    }

    private void onRoundEnded(AcceptanceRound.Result result, long nowMs) {
        AcceptanceRound ended = round;
        round = null;
        if (!acceptor && !hasNoSettings()) {
            return;
        }
        if (result != AcceptanceRound.Result.DONE || ended == null) {
            failures = Math.min(failures + 1, MAX_DOUBLINGS);
            readAtMs = Math.min(readAtMs, nowMs + retryDelayMs());
            return;
        }
        failures = 0;
        if (!acceptor) {
            readAtMs = nowMs + context.options().retryMaxMs();
            return;
        }
        if (!ended.readsDrafts()) {
            // This instance became an acceptor during the round, which therefore read no drafts.
            readAtMs = nowMs;
            return;
        }
        onDraftsRead(ended);
    }

    private void onDraftsRead(AcceptanceRound ended) {
        headRevision = ended.headRevision();
        knownRevision = ended.draftsRevision();
        watch.dropUpTo(knownRevision);
        clearTakeoverIfNothingPending();
        if (!watch.isOpen()) {
            watch.open(knownRevision);
        }
    }

    private void onAdopted(AcceptedTree tree) {
        watch.dropConsidered(tree);
        clearTakeoverIfNothingPending();
        if (!acceptor) {
            readAtMs = NEVER;
        }
    }

    private void clearTakeoverIfNothingPending() {
        if (!watch.hasPending()) {
            takeoverAtMs = NEVER;
        }
    }

    private void poll(long nowMs) {
        pollAtMs = nowMs + pollDelayMs();
        // A round may advance the known revision before this call's reply arrives. A reply with a revision below the
        // advanced one does not indicate a restored store, so the revision known at this point is used.
        long knownBefore = knownRevision;
        calls.then(
                context.store().get(SettingsKeys.HEAD),
                (result, replyMs) -> onHeadPolled(result, knownBefore, replyMs));
    }

    private void onHeadPolled(KeyValueResult<KeyValueStore.@Nullable Entry> result, long knownBefore, long nowMs) {
        if (!acceptor || !(result instanceof KeyValueResult.Answered<KeyValueStore.@Nullable Entry> answered)) {
            return;
        }
        if (answered.revision() < knownBefore) {
            LOG.warn("settings_store_went_back", "revision", answered.revision(), "known", knownBefore);
            watch.close();
            readAtMs = nowMs;
            return;
        }
        checkHead(answered.value(), nowMs);
        // The store's revision has increased, by a draft or by any other write, and the watch has delivered no change
        // as new as that. A working watch and a silent one look the same here; a new watch delivers what was missed.
        if (answered.revision() > Math.max(knownRevision, watch.revision()) && watch.isOpen()) {
            watch.open(watch.revision());
        }
        knownRevision = Math.max(knownRevision, answered.revision());
    }

    private void checkHead(KeyValueStore.@Nullable Entry entry, long nowMs) {
        if (round != null) {
            return;
        }
        AcceptedTree held = context.activeSettings().tree();
        if (context.activeSettings().highestSeen() > held.generation()) {
            // A generation was announced that no peer has delivered; a round determines whether the store still has it.
            readAtMs = Math.min(readAtMs, nowMs);
        }
        long revision = entry == null ? 0 : entry.modRevision();
        if (revision == headRevision) {
            return;
        }
        AcceptedHead head = entry == null ? null : AcceptedHead.parse(entry.value());
        if (head != null && head.digest().equals(held.head().digest())) {
            headRevision = revision;
            return;
        }
        if (head != null) {
            context.activeSettings().noteAnnounced(head.generation());
        }
        readAtMs = Math.min(readAtMs, nowMs);
    }

    private boolean hasNoSettings() {
        return context.activeSettings().generation() == 0;
    }

    private long pollDelayMs() {
        long pollMs = context.options().pollMs();
        return pollMs * 3 / 4 + random.nextLong(pollMs / 2);
    }

    private long retryDelayMs() {
        long doubledMs = context.options().retryMinMs() << Math.max(0, failures - 1);
        long delayMs = Math.min(context.options().retryMaxMs(), doubledMs);
        return delayMs / 2 + random.nextLong(delayMs);
    }
}
