package org.marjoramswitch.kernel.entry;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.LongStream;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.action.ActionSink;
import org.marjoramswitch.kernel.action.Decision;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.message.PeerMessage.PlacementEnd;
import org.marjoramswitch.kernel.misc.Rendezvous;
import org.marjoramswitch.kernel.model.CellId;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.PlacementSpec;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.PromptPart;
import org.marjoramswitch.kernel.model.RequestSpec;
import org.marjoramswitch.kernel.model.StreamSpec;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.placement.LateRequestHold;
import org.marjoramswitch.kernel.settings.TargetSettings;
import org.marjoramswitch.kernel.stream.StreamDirectory;

/**
 * Tracks this entry's placement requests: the arbiter that each was sent to, and the arbiters that account for the slot
 * of a running request.
 *
 * <p>Each placement request has a unique id. A response is accepted only for an open placement request and only from
 * the arbiter that it was last sent to. When the cell's arbiter changes, or a link to it is re-established, open
 * placement requests are sent again and the new arbiter is notified of this entry's running requests in the cell. A
 * placement that arrives late from the former arbiter is returned, so that it frees the slot.
 *
 * <p>The attempt at a silent target is ended only once the slot of the next attempt is reserved. Such a placement request
 * is not sent again: the target's silence is reported repeatedly.
 */
final class Placements {
    /** How long a reservation may wait for a slot. Covers the way to the arbiter and back. */
    private static final long RESERVATION_WAIT_MS = 300;

    /** How long a reserved slot is kept for the end of the silent attempt, whose I/O thread may be behind. */
    private static final long RESERVATION_HOLD_MS = 1_000;

    private final InstanceId self;
    private final FleetState fleet;
    private final TargetBackoffs targetBackoffs;
    private final StreamDirectory streams;
    private final ArbiterBackoffs arbiterBackoffs = new ArbiterBackoffs();
    private final Map<Long, PlacementRequest> byId = new TreeMap<>();
    private final Map<Long, PlacementRequest> byRequest = new HashMap<>();
    /** Placement requests for the next attempts of requests that run at silent targets, by request. */
    private final Map<Long, PlacementRequest> replacements = new TreeMap<>();
    /** For each cell, the arbiter that was notified of this entry's running requests. */
    private final Map<CellId, InstanceId> notifiedArbiters = new TreeMap<>();

    private final PriorityQueue<PlacementRequest> responseDue =
            new PriorityQueue<>(Comparator.comparingLong((PlacementRequest placement) -> placement.responseDueAtMs)
                    .thenComparingLong(placement -> placement.id));
    private long lastId;
    private long resumedAtMs = Long.MIN_VALUE;

    Placements(InstanceId self, FleetState fleet, TargetBackoffs targetBackoffs, StreamDirectory streams) {
        this.self = self;
        this.fleet = fleet;
        this.targetBackoffs = targetBackoffs;
        this.streams = streams;
    }

    /** Sends a placement request; false if the pool has no target. */
    boolean requestPlacement(EntryRequest request, long nowMs, ActionSink sink) {
        CellId cell = cell(request);
        InstanceId arbiter = cell == null ? null : arbiter(cell, nowMs);
        if (cell == null || arbiter == null) {
            return false;
        }
        PlacementRequest placement = new PlacementRequest(++lastId, request, cell, arbiter, nowMs);
        responseDue.add(placement);
        byId.put(placement.id, placement);
        byRequest.put(request.spec().requestId(), placement);
        sendHeld(cell, arbiter, nowMs, sink);
        sendPlace(placement, nowMs, sink);
        return true;
    }

    /** Whether all targets that could serve the request are in evacuated data centres. */
    boolean isEvacuated(EntryRequest request) {
        CellId cell = cell(request);
        List<TargetSettings> all = cell == null ? List.of() : fleet.cells().targets(cell);
        return !all.isEmpty() && all.stream().allMatch(fleet::isEvacuated);
    }

    /** Time until any target accepts requests again; 0 if one does now. */
    long backoffRemainingMs(EntryRequest request, long nowMs) {
        CellId cell = cell(request);
        return cell == null ? 0 : targetBackoffs.remainingMs(targets(cell), nowMs);
    }

    /** Whether the placement request excluded the target, so that the arbiter selected it for lack of another one. */
    boolean wasExcluded(EntryRequest request, TargetId target) {
        PlacementRequest placement = byRequest.get(request.spec().requestId());
        return placement != null && placement.excluded.contains(target);
    }

    /** Whether a target other than the current one and those that have failed could continue the request. */
    boolean hasAlternative(EntryRequest request, long nowMs) {
        PlacementRequest placement = byRequest.get(request.spec().requestId());
        if (placement == null) {
            return false;
        }
        Set<TargetId> excluded = targetBackoffs.backedOffTargets(nowMs);
        return targets(placement.cell).stream()
                .filter(target -> !target.equals(request.target()) && !excluded.contains(target))
                .filter(target -> !request.failedTargets().contains(target))
                .anyMatch(target -> hasVersion(target, request.streamVersion()));
    }

    private boolean hasVersion(TargetId target, @Nullable String version) {
        TargetSettings settings = fleet.settings().targets().get(target);
        return version == null
                || (settings != null && settings.softwareVersion().equals(version));
    }

    /**
     * Requests a slot for the next attempt of a running request, if none is requested or reserved; false if there is no
     * arbiter.
     */
    boolean reserve(EntryRequest request, long nowMs, ActionSink sink) {
        PlacementRequest running = byRequest.get(request.spec().requestId());
        InstanceId arbiter = running == null ? null : arbiter(running.cell, nowMs);
        if (replacements.containsKey(request.spec().requestId())) {
            return true;
        }
        if (running == null || arbiter == null) {
            return false;
        }
        PlacementRequest placement = new PlacementRequest(++lastId, request, running.cell, arbiter, nowMs);
        placement.reservedUntilMs = nowMs + RESERVATION_WAIT_MS;
        byId.put(placement.id, placement);
        replacements.put(request.spec().requestId(), placement);
        sendHeld(placement.cell, arbiter, nowMs, sink);
        sendPlace(placement, nowMs, sink);
        return true;
    }

    /** Whether the slot that was placed can serve the request's next attempt; it is kept for it in that case. */
    boolean keepReserved(EntryRequest request, PeerMessage.Placed placed, long nowMs) {
        PlacementRequest placement = replacements.get(request.spec().requestId());
        if (placement == null
                || placement.id != placed.placementId()
                || placement.excluded.contains(placed.target())
                || placement.hasMoved(placement.cell, arbiter(placement.cell, nowMs))) {
            return false;
        }
        placement.reserved = placed;
        placement.reservedUntilMs = nowMs + RESERVATION_HOLD_MS;
        return true;
    }

    /** Returns the slot reserved for the next attempt, now the request's placement; null if there is none. */
    PeerMessage.@Nullable Placed takeReserved(EntryRequest request, long nowMs, ActionSink sink) {
        PlacementRequest placement = replacements.get(request.spec().requestId());
        PeerMessage.Placed reserved = placement == null ? null : placement.reserved;
        if (placement == null
                || reserved == null
                || placement.hasMoved(placement.cell, arbiter(placement.cell, nowMs))) {
            release(request, sink);
            return null;
        }
        replacements.remove(request.spec().requestId());
        byRequest.put(request.spec().requestId(), placement);
        return reserved;
    }

    /** The arbiter of the request's placement. */
    InstanceId arbiterOf(EntryRequest request) {
        return Objects.requireNonNull(byRequest.get(request.spec().requestId())).arbiter;
    }

    /** Returns the slot reserved for the request's next attempt, or withdraws its placement request. */
    void release(EntryRequest request, ActionSink sink) {
        PlacementRequest placement = replacements.remove(request.spec().requestId());
        if (placement == null) {
            return;
        }
        byId.remove(placement.id);
        if (!placement.placed) {
            send(placement, new PeerMessage.PlaceWithdrawn(placement.cell, placement.id), sink);
            return;
        }
        sendToAccounting(
                placement, new PeerMessage.PlacementEnded(placement.cell, placement.id, 0, PlacementEnd.NOT_RUN), sink);
    }

    /** Releases reservations that have waited or were kept for too long; returns their requests. */
    List<EntryRequest> releaseOverdue(long nowMs, ActionSink sink) {
        List<EntryRequest> overdue = replacements.values().stream()
                .filter(placement -> placement.reservedUntilMs <= nowMs)
                .map(placement -> placement.request)
                .toList();
        overdue.forEach(request -> release(request, sink));
        return overdue;
    }

    /** Re-sends placement requests that excluded targets in backoff, now that a backoff has elapsed. */
    void backoffEnded(long nowMs, ActionSink sink) {
        for (PlacementRequest placement : List.copyOf(byId.values())) {
            if (placement.excludesBackedOff && !isReplacement(placement)) {
                sendPlace(placement, nowMs, sink);
            }
        }
    }

    /** Withdraws the placement request of a request that ended while waiting. */
    void withdraw(EntryRequest request, ActionSink sink) {
        PlacementRequest placement = byRequest.get(request.spec().requestId());
        if (placement != null) {
            close(placement);
            send(placement, new PeerMessage.PlaceWithdrawn(placement.cell, placement.id), sink);
        }
    }

    /**
     * Accepts a placement; null if it matches no open placement request, in which case it is returned to the arbiter.
     */
    @Nullable
    EntryRequest placed(InstanceId from, PeerMessage.Placed placed, long nowMs, ActionSink sink) {
        PlacementRequest placement = byId.get(placed.placementId());
        boolean open = placement != null && !placement.placed && from.equals(placement.arbiter);
        if (placement == null || !open) {
            returnPlacement(from, placed, sink);
            return null;
        }
        recordDelay(placement, placed.heldMs(), nowMs, sink);
        placement.placed = true;
        placement.accountingArbiters.add(from);
        return placement.request;
    }

    /**
     * The remaining time for which a placement is valid: the messages' time on the way counts, as far as this instance
     * can tell it from the time that the arbiter held the request.
     */
    long startWithinMs(EntryRequest request, PeerMessage.Placed placed, long nowMs) {
        PlacementRequest placement = byRequest.get(request.spec().requestId());
        if (placement == null || placed.startWithinMs() == PeerMessage.Placed.ANY_TIME) {
            return placed.startWithinMs();
        }
        return placed.startWithinMs() - Math.max(0, nowMs - placement.sentAtMs - placed.heldMs());
    }

    /** Returns a placement that is not used, so that the arbiter frees the slot. */
    void returnPlacement(InstanceId from, PeerMessage.Placed placed, ActionSink sink) {
        sink.accept(new Action.SendPeer(
                from, new PeerMessage.PlacementEnded(placed.cell(), placed.placementId(), 0, PlacementEnd.NOT_RUN)));
    }

    /** Accepts a rejection; null if it matches no open placement request. */
    @Nullable
    EntryRequest notPlaced(InstanceId from, PeerMessage.NotPlaced rejection, long nowMs, ActionSink sink) {
        PlacementRequest placement = byId.get(rejection.placementId());
        if (placement == null || placement.placed || !from.equals(placement.arbiter)) {
            return null;
        }
        recordDelay(placement, rejection.heldMs(), nowMs, sink);
        close(placement);
        return placement.request;
    }

    /**
     * Starts a backoff of an arbiter that knows no targets of the request's cell.
     *
     * @return whether there is another arbiter to ask
     */
    boolean replaceArbiterWithoutTargets(EntryRequest request, InstanceId arbiter, long nowMs, ActionSink sink) {
        recordLate(arbiter, "targets_unknown", nowMs, sink);
        CellId cell = cell(request);
        InstanceId next = cell == null ? null : arbiter(cell, nowMs);
        return next != null && !next.equals(arbiter);
    }

    /** Starts a backoff of an arbiter that sent no message although a response is expected. */
    void arbiterSilent(InstanceId arbiter, long nowMs, ActionSink sink) {
        recordLate(arbiter, "silent", nowMs, sink);
    }

    private void recordDelay(PlacementRequest placement, long heldMs, long nowMs, ActionSink sink) {
        long delayMs = nowMs - placement.sentAtMs - heldMs;
        if (ArbiterBackoffs.isLate(delayMs) && placement.sentAtMs >= resumedAtMs) {
            recordLate(placement.arbiter, "delayed", nowMs, sink);
        }
    }

    /** This instance was paused, so responses that are late or missing now are not attributed to the arbiters. */
    void processResumed(long nowMs) {
        resumedAtMs = nowMs;
    }

    private void recordLate(InstanceId arbiter, String reason, long nowMs, ActionSink sink) {
        if (arbiter.equals(self) || nowMs == resumedAtMs) {
            return;
        }
        long backoffMs = arbiterBackoffs.recordLateResponse(arbiter, nowMs);
        if (backoffMs > 0) {
            sink.accept(new Action.Decided(
                    Decision.of("arbiter_late", "arbiter", arbiter, "reason", reason, "backoffMs", backoffMs)));
        }
    }

    /**
     * Closes placement requests that an arbiter without backlog would have responded to by now; returns their requests.
     */
    List<EntryRequest> takeOverdue(long nowMs, ActionSink sink) {
        List<EntryRequest> overdue = new ArrayList<>();
        while (!responseDue.isEmpty() && responseDue.peek().responseDueAtMs <= nowMs) {
            PlacementRequest placement = responseDue.poll();
            if (placement.placed || byId.get(placement.id) != placement) {
                continue;
            }
            // A response that is due soon after the request says nothing about the arbiter: the caller gives up then.
            if (ArbiterBackoffs.isLate(nowMs - placement.sentAtMs)) {
                recordLate(placement.arbiter, "overdue", nowMs, sink);
            }
            withdraw(placement.request, sink);
            overdue.add(placement.request);
        }
        return overdue;
    }

    /** The first byte of the running attempt's response has arrived. */
    void responseStarted(EntryRequest request, long nowMs, ActionSink sink) {
        PlacementRequest placement = byRequest.get(request.spec().requestId());
        if (placement == null || !placement.placed || placement.responseStarted) {
            return;
        }
        placement.responseStarted = true;
        sendToAccounting(placement, new PeerMessage.PlacementAnswering(placement.cell, placement.id), sink);
        reportStream(placement, nowMs, sink);
    }

    /** Reports the version of a stream that has begun, since its caller may resume it at another instance. */
    private void reportStream(PlacementRequest placement, long nowMs, ActionSink sink) {
        StreamSpec stream = placement.spec().stream();
        String version = placement.request.streamVersion();
        if (stream == null || version == null) {
            return;
        }
        RequestSpec spec = placement.request.spec();
        long leftMs = spec.deadlineMs() - nowMs;
        List<PeerMessage.StreamBeginning> beginnings = LongStream.of(stream.requestKey(), stream.beginningKey())
                .filter(key -> key != 0)
                .mapToObj(key -> new PeerMessage.StreamBeginning(key, version, leftMs))
                .toList();
        if (beginnings.isEmpty()) {
            return;
        }
        beginnings.forEach(beginning -> streams.record(spec.pool(), beginning, nowMs));
        send(placement, new PeerMessage.StreamsBegan(spec.pool(), beginnings, false), sink);
    }

    /**
     * The running attempt ended. A stream is counted in events, each of which may contain several tokens, so after a
     * complete response the expected number of output tokens counts as produced.
     */
    void attemptEnded(EntryRequest request, PlacementEnd end, ActionSink sink) {
        PlacementRequest placement = byRequest.get(request.spec().requestId());
        if (placement != null && placement.placed) {
            close(placement);
            long outputTokens = end == PlacementEnd.SERVED ? placement.spec().outputTokens() : 0;
            sendToAccounting(
                    placement, new PeerMessage.PlacementEnded(placement.cell, placement.id, outputTokens, end), sink);
        }
    }

    /**
     * Re-sends open placement requests whose cell or arbiter has changed, and releases such reservations; returns the
     * requests of these.
     */
    List<EntryRequest> fleetChanged(long nowMs, ActionSink sink) {
        List<EntryRequest> released = new ArrayList<>();
        notifiedArbiters.entrySet().removeIf(known -> !known.getValue().equals(arbiter(known.getKey(), nowMs)));
        for (PlacementRequest placement : List.copyOf(byId.values())) {
            if (isReplacement(placement)) {
                if (placement.hasMoved(placement.cell, arbiter(placement.cell, nowMs))) {
                    release(placement.request, sink);
                    released.add(placement.request);
                }
                continue;
            }
            CellId cell = fleet.cells().targets(placement.cell).isEmpty() ? cell(placement.request) : placement.cell;
            InstanceId arbiter = cell == null ? null : arbiter(cell, nowMs);
            if (cell != null && arbiter != null && placement.hasMoved(cell, arbiter)) {
                move(placement, cell, arbiter, nowMs, sink);
            }
        }
        return released;
    }

    /**
     * A new link to a peer is up: messages on the old one are lost, and the peer has dropped this entry's state. Returns
     * the requests whose reservations are released.
     */
    List<EntryRequest> connected(InstanceId peer, long nowMs, ActionSink sink) {
        List<EntryRequest> released = new ArrayList<>();
        notifiedArbiters.values().removeIf(peer::equals);
        for (PlacementRequest placement : List.copyOf(byId.values())) {
            if (!peer.equals(placement.arbiter)) {
                continue;
            }
            if (isReplacement(placement)) {
                release(placement.request, sink);
                released.add(placement.request);
            } else {
                sendHeld(placement.cell, peer, nowMs, sink);
                sendPlace(placement, nowMs, sink);
            }
        }
        return released;
    }

    /** The arbiters, other than this instance, from which a response is expected. */
    Set<InstanceId> awaitedArbiters() {
        Set<InstanceId> awaited = new TreeSet<>();
        for (PlacementRequest placement : byId.values()) {
            if (!placement.placed && !placement.arbiter.equals(self)) {
                awaited.add(placement.arbiter);
            }
        }
        return awaited;
    }

    /**
     * The arbiter to use: the next in rank if the first responds late. If both are late, this instance is the one that
     * lags; using further arbiters would only spread the knowledge about the targets over all of them.
     */
    private @Nullable InstanceId arbiter(CellId cell, long nowMs) {
        InstanceId first = fleet.arbiter(cell);
        if (first == null || !arbiterBackoffs.isInBackoff(first, nowMs)) {
            return first;
        }
        InstanceId second = fleet.arbiterAfter(cell, first);
        return second == null || arbiterBackoffs.isInBackoff(second, nowMs) ? first : second;
    }

    private void move(PlacementRequest placement, CellId cell, InstanceId arbiter, long nowMs, ActionSink sink) {
        if (!placement.placed) {
            send(placement, new PeerMessage.PlaceWithdrawn(placement.cell, placement.id), sink);
        }
        placement.cell = cell;
        placement.arbiter = arbiter;
        sendHeld(cell, arbiter, nowMs, sink);
        sendPlace(placement, nowMs, sink);
    }

    /**
     * Notifies an arbiter that is new to this entry of the running requests in the cell, and of their streams, since the
     * former arbiter may have crashed before it forwarded them.
     */
    private void sendHeld(CellId cell, InstanceId arbiter, long nowMs, ActionSink sink) {
        if (arbiter.equals(notifiedArbiters.put(cell, arbiter))) {
            return;
        }
        List<PeerMessage.HeldPlacement> held = new ArrayList<>();
        for (PlacementRequest placement : byId.values()) {
            TargetId target = placement.request.target();
            if (!placement.placed || target == null || !cell.equals(placement.cell) || isReplacement(placement)) {
                continue;
            }
            placement.arbiter = arbiter;
            placement.accountingArbiters.add(arbiter);
            if (placement.responseStarted) {
                reportStream(placement, nowMs, sink);
            }
            PlacementSpec spec = placement.spec();
            held.add(new PeerMessage.HeldPlacement(
                    placement.id,
                    placement.request.spec().customer(),
                    target,
                    spec.promptTokens(),
                    spec.outputTokens(),
                    placement.responseStarted));
        }
        if (!held.isEmpty()) {
            sink.accept(new Action.SendPeer(arbiter, new PeerMessage.PlacementsHeld(cell, held)));
        }
    }

    private void sendPlace(PlacementRequest placement, long nowMs, ActionSink sink) {
        if (placement.placed) {
            return;
        }
        placement.sentAtMs = nowMs;
        EntryRequest request = placement.request;
        PlacementSpec spec = placement.spec();
        Set<TargetId> backedOff = targetBackoffs.backedOffTargets(nowMs);
        placement.excludesBackedOff = !backedOff.isEmpty();
        placement.excluded = excluded(placement, backedOff);
        String version = findStreamVersion(request, nowMs);
        send(
                placement,
                new PeerMessage.Place(
                        placement.cell,
                        placement.id,
                        request.spec().customer(),
                        request.spec().urgency(),
                        spec.prompt(),
                        spec.outputTokens(),
                        spec.objectiveAtMs() - nowMs,
                        request.waitsUntilMs() - nowMs,
                        request.spec().deadlineMs() - nowMs,
                        placement.excluded,
                        version == null ? "" : version,
                        version == null ? resumedStream(spec) : PeerMessage.Place.NO_STREAM),
                sink);
    }

    /** The version to which the request is confined; null if any will do or the arbiter has to find it. */
    private @Nullable String findStreamVersion(EntryRequest request, long nowMs) {
        StreamSpec stream = Objects.requireNonNull(request.spec().placement()).stream();
        if (request.streamVersion() == null && stream != null && stream.resumed()) {
            String known = streams.versionOf(request.spec().pool(), stream.beginningKey(), nowMs);
            request.resumeAt(known == null ? "" : known);
        }
        return request.streamVersion();
    }

    private static long resumedStream(PlacementSpec spec) {
        StreamSpec stream = spec.stream();
        if (stream == null || !stream.resumed()) {
            return PeerMessage.Place.NO_STREAM;
        }
        return stream.beginningKey() == 0 ? PeerMessage.Place.UNNAMED_STREAM : stream.beginningKey();
    }

    /**
     * The targets in backoff and those that have failed the request. An arbiter ignores a list of all targets, so the
     * failed ones are allowed again in that case; a target in backoff would reject the request.
     */
    private List<TargetId> excluded(PlacementRequest placement, Set<TargetId> backedOff) {
        Set<TargetId> excluded = new TreeSet<>(backedOff);
        excluded.addAll(placement.request.failedTargets());
        TargetId silent = placement.request.target();
        if (silent != null && isReplacement(placement)) {
            excluded.add(silent);
        }
        boolean anyLeft = !excluded.containsAll(targets(placement.cell));
        return List.copyOf(anyLeft ? excluded : backedOff);
    }

    private List<TargetId> targets(CellId cell) {
        return fleet.usableTargets(cell);
    }

    private boolean isReplacement(PlacementRequest placement) {
        return replacements.get(placement.request.spec().requestId()) == placement;
    }

    private void close(PlacementRequest placement) {
        byId.remove(placement.id);
        byRequest.remove(placement.request.spec().requestId(), placement);
        replacements.remove(placement.request.spec().requestId(), placement);
    }

    /** Notifies all arbiters that account for the request's slot; otherwise the slot would stay occupied there. */
    private static void sendToAccounting(PlacementRequest placement, PeerMessage message, ActionSink sink) {
        placement.accountingArbiters.forEach(arbiter -> sink.accept(new Action.SendPeer(arbiter, message)));
    }

    private static void send(PlacementRequest placement, PeerMessage message, ActionSink sink) {
        sink.accept(new Action.SendPeer(placement.arbiter, message));
    }

    /** The cell for a request. All requests of a session use the same one, so that they find their prompt cached. */
    private @Nullable CellId cell(EntryRequest request) {
        PoolId pool = request.spec().pool();
        List<CellId> cells = fleet.cells().cells(pool);
        if (cells.size() < 2) {
            return cells.isEmpty() ? null : cells.get(0);
        }
        List<PromptPart> prompt =
                Objects.requireNonNull(request.spec().placement()).prompt();
        String key = prompt.isEmpty()
                ? Long.toString(request.spec().requestId())
                : Long.toString(prompt.get(Math.max(0, prompt.size() - 2)).id());
        return Rendezvous.rank(key, cells).get(0);
    }

    /** One placement request, kept until the request ends at the target. */
    private static final class PlacementRequest {
        private final long id;
        private final EntryRequest request;
        private final long responseDueAtMs;
        private CellId cell;
        private InstanceId arbiter;
        private long sentAtMs;
        private boolean placed;
        private boolean responseStarted;
        /** The slot reserved for the request's next attempt. */
        private PeerMessage.@Nullable Placed reserved;

        private long reservedUntilMs;
        /** The arbiters that account for the slot: the one that placed the request and those notified of it since. */
        private final Set<InstanceId> accountingArbiters = new TreeSet<>();
        /** Whether targets are excluded because they are in backoff. */
        private boolean excludesBackedOff;

        private List<TargetId> excluded = List.of();

        private PlacementRequest(long id, EntryRequest request, CellId cell, InstanceId arbiter, long nowMs) {
            this.id = id;
            this.request = request;
            PlacementSpec placement = Objects.requireNonNull(request.spec().placement());
            this.responseDueAtMs = LateRequestHold.responseDueAtMs(
                    placement.objectiveAtMs(), request.spec().deadlineMs(), request.waitsUntilMs(), nowMs);
            this.cell = cell;
            this.arbiter = arbiter;
        }

        private PlacementSpec spec() {
            return Objects.requireNonNull(request.spec().placement());
        }

        private boolean hasMoved(CellId newCell, @Nullable InstanceId newArbiter) {
            return !newCell.equals(cell) || !arbiter.equals(newArbiter);
        }
    }
}
