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
 * Decides when this instance reads the platform's service.
 *
 * <p>An acceptor watches the drafts. For each change the acceptors take turns: the first one by a hash of the change
 * begins a round at once, each further one a little later, and only if no generation that considers the change has
 * reached it by then. So a change normally costs the service one round, however many acceptors there are, and when the
 * first ones are down or paused it costs some hundred milliseconds more.
 *
 * <p>A watch may fall silent and a service may be restored from a backup, after which a watch from a revision that is
 * still to come stays silent for long. So an acceptor asks for the head every few seconds, which also tells it the
 * service's revision: a lower one than before, or a head that does not fit what is held, begins a round; a higher one
 * without a word from the watch opens the watch anew from the last revision that it is known to cover.
 *
 * <p>An instance that holds nothing yet reads what is accepted even if it is no acceptor, until it has something from
 * here or from a peer.
 */
final class SettingsPublisher implements DraftWatch.Listener {
    private static final KeyValueLog LOG = KeyValueLog.of(SettingsPublisher.class);
    private static final long NEVER = Long.MAX_VALUE;
    private static final int MAX_DOUBLINGS = 10;

    private final LoopContext parts;
    private final StoreCalls calls;
    private final SplittableRandom random;
    private final RepairDelay repairDelay;
    private final DraftWatch watch;
    private List<InstanceId> acceptors = List.of();
    private boolean acceptor;
    private @Nullable AcceptanceRound round;
    private long readAtMs;
    private long turnAtMs = NEVER;
    private long pollAtMs = NEVER;
    private int failures;
    private long knownRevision;
    private long headRevision;

    private SettingsPublisher(LoopContext parts, SplittableRandom random) {
        this.parts = parts;
        this.calls = StoreCalls.of(parts.inbox());
        this.random = random;
        this.repairDelay = RepairDelay.of(parts.options().repairAfterMs());
        this.watch = DraftWatch.of(parts, this);
    }

    static SettingsPublisher of(LoopContext parts, SplittableRandom random) {
        SettingsPublisher publisher = new SettingsPublisher(parts, random);
        parts.inForce().onAdopted(publisher::onAdopted);
        return publisher;
    }

    void onView(FleetView view, long nowMs) {
        acceptors = AcceptorRoles.acceptors(view, parts.options().acceptorsPerDataCentre());
        boolean accepts = acceptors.contains(parts.self());
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
        turnAtMs = NEVER;
        readAtMs = holdsNothing() ? nowMs : NEVER;
    }

    void tick(long nowMs) {
        if (watch.takeOverflow()) {
            readAtMs = nowMs;
        }
        if (round != null && nowMs - round.progressMs() >= parts.options().callTimeoutMs()) {
            // The reply found the inbox full: the store's own timeout is shorter, so its call has ended long ago.
            round.abandon();
            onRoundEnded(AcceptanceRound.Result.FAILED, nowMs);
        }
        if (round == null && nowMs >= Math.min(readAtMs, turnAtMs)) {
            startRound(nowMs);
        }
        if (nowMs >= pollAtMs) {
            poll(nowMs);
        }
    }

    long nextMs() {
        long roundMs = round == null
                ? Math.min(readAtMs, turnAtMs)
                : round.progressMs() + parts.options().callTimeoutMs();
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
        int rank = AcceptorRoles.rank(acceptors, parts.self(), change);
        turnAtMs = Math.min(turnAtMs, nowMs + rank * parts.options().turnMs());
    }

    @Override
    public void onBroken(long nowMs) {
        // The round's end opens the watch anew, from the revision that the round has read.
        readAtMs = Math.min(readAtMs, nowMs + retryDelayMs());
    }

    private void startRound(long nowMs) {
        // Should the start itself fail, the next attempt is made after a while and not in the next step.
        readAtMs = nowMs + parts.options().callTimeoutMs();
        turnAtMs = NEVER;
        round = AcceptanceRound.start(parts, calls, repairDelay, acceptor, this::onRoundEnded, nowMs);
        readAtMs = NEVER;
    }

    private void onRoundEnded(AcceptanceRound.Result result, long nowMs) {
        AcceptanceRound ended = round;
        round = null;
        if (!acceptor && !holdsNothing()) {
            return;
        }
        if (result != AcceptanceRound.Result.DONE || ended == null) {
            failures = Math.min(failures + 1, MAX_DOUBLINGS);
            readAtMs = Math.min(readAtMs, nowMs + retryDelayMs());
            return;
        }
        failures = 0;
        if (!acceptor) {
            readAtMs = nowMs + parts.options().retryMaxMs();
            return;
        }
        if (!ended.accepts()) {
            // The role came while the round ran, which therefore read no drafts.
            readAtMs = nowMs;
            return;
        }
        onDraftsRead(ended);
    }

    private void onDraftsRead(AcceptanceRound ended) {
        headRevision = ended.headRevision();
        knownRevision = ended.draftsRevision();
        watch.considered(knownRevision);
        forgetTurnWithoutChanges();
        if (!watch.isOpen()) {
            watch.open(knownRevision);
        }
    }

    private void onAdopted(AcceptedTree tree) {
        watch.considered(tree);
        forgetTurnWithoutChanges();
        if (!acceptor) {
            readAtMs = NEVER;
        }
    }

    private void forgetTurnWithoutChanges() {
        if (!watch.hasPending()) {
            turnAtMs = NEVER;
        }
    }

    private void poll(long nowMs) {
        pollAtMs = nowMs + pollDelayMs();
        // A round may move the known revision on before this call's answer, which is then no sign of a restored
        // service.
        long knownBefore = knownRevision;
        calls.then(parts.store().get(SettingsKeys.HEAD), (result, replyMs) -> onPolled(result, knownBefore, replyMs));
    }

    private void onPolled(KeyValueResult<KeyValueStore.@Nullable Entry> result, long knownBefore, long nowMs) {
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
        // The service has moved on, by a draft or by anything else, and the watch has not brought a change as new as
        // that. It may be right or silent, which looks the same; a new one brings what the old one may have missed.
        if (answered.revision() > Math.max(knownRevision, watch.revision()) && watch.isOpen()) {
            watch.open(watch.revision());
        }
        knownRevision = Math.max(knownRevision, answered.revision());
    }

    private void checkHead(KeyValueStore.@Nullable Entry entry, long nowMs) {
        if (round != null) {
            return;
        }
        AcceptedTree held = parts.inForce().tree();
        if (parts.inForce().highestSeen() > held.generation()) {
            // Peers know of a generation that none of them passes on; a round settles whether the service still has it.
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
            parts.inForce().seen(head.generation());
        }
        readAtMs = Math.min(readAtMs, nowMs);
    }

    private boolean holdsNothing() {
        return parts.inForce().generation() == 0;
    }

    private long pollDelayMs() {
        long pollMs = parts.options().pollMs();
        return pollMs * 3 / 4 + random.nextLong(pollMs / 2);
    }

    private long retryDelayMs() {
        long doubledMs = parts.options().retryMinMs() << Math.max(0, failures - 1);
        long delayMs = Math.min(parts.options().retryMaxMs(), doubledMs);
        return delayMs / 2 + random.nextLong(delayMs);
    }
}
