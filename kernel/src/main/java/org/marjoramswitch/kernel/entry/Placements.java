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
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.placement.LateRequestHold;
import org.marjoramswitch.kernel.settings.TargetSettings;

/**
 * Tracks this entry's placement questions: which arbiter was asked for a target for which request, and which arbiters count
 * the slot of a request that runs.
 *
 * <p>Each question has a number of its own, and an answer is accepted only for an open question and from the arbiter that was
 * asked last. When the cell's arbiter changes, or a link to it is re-established, open questions are sent again and the new
 * arbiter is notified of this entry's running requests in the cell. A late answer of the former arbiter is given back, so
 * that it frees the slot.
 */
final class Placements {
    private final InstanceId self;
    private final FleetState plan;
    private final TargetBackoffs rests;
    private final ArbiterBackoffs lateArbiters = new ArbiterBackoffs();
    private final Map<Long, Question> byNumber = new TreeMap<>();
    private final Map<Long, Question> byRequest = new HashMap<>();
    /** For each cell, the arbiter that was notified of this entry's running requests. */
    private final Map<CellId, InstanceId> told = new TreeMap<>();

    private final PriorityQueue<Question> answerDue =
            new PriorityQueue<>(Comparator.comparingLong((Question question) -> question.answerDueAtMs)
                    .thenComparingLong(question -> question.number));
    private long lastNumber;
    private long resumedAtMs = Long.MIN_VALUE;

    Placements(InstanceId self, FleetState plan, TargetBackoffs rests) {
        this.self = self;
        this.plan = plan;
        this.rests = rests;
    }

    /** Asks for a target; false if the pool has none. */
    boolean ask(EntryRequest request, long nowMs, ActionSink sink) {
        CellId cell = cell(request);
        InstanceId arbiter = cell == null ? null : arbiter(cell, nowMs);
        if (cell == null || arbiter == null) {
            return false;
        }
        Question question = new Question(++lastNumber, request, cell, arbiter, nowMs);
        answerDue.add(question);
        byNumber.put(question.number, question);
        byRequest.put(request.spec().requestId(), question);
        tellHeld(cell, arbiter, sink);
        put(question, nowMs, sink);
        return true;
    }

    /** Time until any target accepts requests again; 0 if one does now. */
    long restLeftMs(EntryRequest request, long nowMs) {
        CellId cell = cell(request);
        return cell == null ? 0 : rests.leftMs(targets(cell), nowMs);
    }

    /** Whether the request's question excluded the target, so that the arbiter offered it for lack of another. */
    boolean leftOut(EntryRequest request, TargetId target) {
        Question question = byRequest.get(request.spec().requestId());
        return question != null && question.excluded.contains(target);
    }

    /** Asks again for requests that had excluded targets in backoff, now that a backoff has elapsed. */
    void restEnded(long nowMs, ActionSink sink) {
        for (Question question : List.copyOf(byNumber.values())) {
            if (question.spared) {
                put(question, nowMs, sink);
            }
        }
    }

    /** Withdraws the question of a request that ended while waiting. */
    void withdraw(EntryRequest request, ActionSink sink) {
        Question question = byRequest.get(request.spec().requestId());
        if (question != null) {
            close(question);
            send(question, new PeerMessage.PlaceWithdrawn(question.cell, question.number), sink);
        }
    }

    /** Accepts a placement; null if it answers no open question, in which case it is given back. */
    @Nullable
    EntryRequest placed(InstanceId from, PeerMessage.Placed placed, long nowMs, ActionSink sink) {
        Question question = byNumber.get(placed.ask());
        boolean open = question != null && !question.placed && from.equals(question.arbiter);
        if (question == null || !open) {
            giveBack(from, placed, sink);
            return null;
        }
        noteDelay(question, placed.heldMs(), nowMs, sink);
        question.placed = true;
        question.counting.add(from);
        return question.request;
    }

    /** Gives a placement back whose target cannot be used. */
    void giveBack(InstanceId from, PeerMessage.Placed placed, ActionSink sink) {
        sink.accept(new Action.SendPeer(
                from, new PeerMessage.PlacementEnded(placed.cell(), placed.ask(), 0, PlacementEnd.NOT_RUN)));
    }

    /** Accepts a rejection; null if it answers no open question. */
    @Nullable
    EntryRequest notPlaced(InstanceId from, PeerMessage.NotPlaced refused, long nowMs, ActionSink sink) {
        Question question = byNumber.get(refused.ask());
        if (question == null || question.placed || !from.equals(question.arbiter)) {
            return null;
        }
        noteDelay(question, refused.heldMs(), nowMs, sink);
        close(question);
        return question.request;
    }

    /** Nothing came from an arbiter that an answer is awaited from. */
    void silent(InstanceId arbiter, long nowMs, ActionSink sink) {
        late(arbiter, "silent", nowMs, sink);
    }

    private void noteDelay(Question question, long heldMs, long nowMs, ActionSink sink) {
        long delayMs = nowMs - question.putAtMs - heldMs;
        if (ArbiterBackoffs.isLate(delayMs) && question.putAtMs >= resumedAtMs) {
            late(question.arbiter, "delayed", nowMs, sink);
        }
    }

    /** This instance was paused, so that answers which are late or missing now say nothing of the arbiters. */
    void resumed(long nowMs) {
        resumedAtMs = nowMs;
    }

    private void late(InstanceId arbiter, String reason, long nowMs, ActionSink sink) {
        if (arbiter.equals(self) || nowMs == resumedAtMs) {
            return;
        }
        long backoffMs = lateArbiters.late(arbiter, nowMs);
        if (backoffMs > 0) {
            sink.accept(new Action.Decided(
                    Decision.of("arbiter_late", "arbiter", arbiter, "reason", reason, "backoffMs", backoffMs)));
        }
    }

    /** Ends the questions that an arbiter without backlog would have answered by now; returns their requests. */
    List<EntryRequest> takeOverdue(long nowMs, ActionSink sink) {
        List<EntryRequest> overdue = new ArrayList<>();
        while (!answerDue.isEmpty() && answerDue.peek().answerDueAtMs <= nowMs) {
            Question question = answerDue.poll();
            if (question.placed || byNumber.get(question.number) != question) {
                continue;
            }
            late(question.arbiter, "overdue", nowMs, sink);
            withdraw(question.request, sink);
            overdue.add(question.request);
        }
        return overdue;
    }

    /** The first byte of the running attempt's answer has arrived. */
    void answering(EntryRequest request, ActionSink sink) {
        Question question = byRequest.get(request.spec().requestId());
        if (question == null || !question.placed || question.answering) {
            return;
        }
        question.answering = true;
        sendToCounting(question, new PeerMessage.PlacementAnswering(question.cell, question.number), sink);
    }

    /**
     * The running attempt ended. A stream tells events and not tokens, of which an event may hold several, so what was
     * expected counts as made where the whole answer came.
     */
    void ended(EntryRequest request, PlacementEnd end, ActionSink sink) {
        Question question = byRequest.get(request.spec().requestId());
        if (question != null && question.placed) {
            close(question);
            long outputTokens = end == PlacementEnd.SERVED ? question.spec().outputTokens() : 0;
            sendToCounting(
                    question, new PeerMessage.PlacementEnded(question.cell, question.number, outputTokens, end), sink);
        }
    }

    /** Re-sends open questions whose cell or arbiter has changed. */
    void follow(long nowMs, ActionSink sink) {
        told.entrySet().removeIf(known -> !known.getValue().equals(arbiter(known.getKey(), nowMs)));
        for (Question question : List.copyOf(byNumber.values())) {
            CellId cell = plan.cells().targets(question.cell).isEmpty() ? cell(question.request) : question.cell;
            InstanceId arbiter = cell == null ? null : arbiter(cell, nowMs);
            if (cell != null && arbiter != null && question.isElsewhere(cell, arbiter)) {
                move(question, cell, arbiter, nowMs, sink);
            }
        }
    }

    /** A new link to a peer is up: messages on the old one are lost, and the peer has dropped this entry's state. */
    void connected(InstanceId peer, long nowMs, ActionSink sink) {
        told.values().removeIf(peer::equals);
        for (Question question : List.copyOf(byNumber.values())) {
            if (peer.equals(question.arbiter)) {
                tellHeld(question.cell, peer, sink);
                put(question, nowMs, sink);
            }
        }
    }

    /** The arbiters that an answer is awaited from. */
    Set<InstanceId> awaited() {
        Set<InstanceId> awaited = new TreeSet<>();
        for (Question question : byNumber.values()) {
            if (!question.placed && !question.arbiter.equals(self)) {
                awaited.add(question.arbiter);
            }
        }
        return awaited;
    }

    /**
     * The arbiter to ask: the next in rank where the first answers late. Where both are late this instance is the one that
     * lags, and asking ever further arbiters would only spread what is known of the targets over all of them.
     */
    private @Nullable InstanceId arbiter(CellId cell, long nowMs) {
        InstanceId first = plan.arbiter(cell);
        if (first == null || !lateArbiters.isInBackoff(first, nowMs)) {
            return first;
        }
        InstanceId second = plan.arbiterAfter(cell, first);
        return second == null || lateArbiters.isInBackoff(second, nowMs) ? first : second;
    }

    private void move(Question question, CellId cell, InstanceId arbiter, long nowMs, ActionSink sink) {
        if (!question.placed) {
            send(question, new PeerMessage.PlaceWithdrawn(question.cell, question.number), sink);
        }
        question.cell = cell;
        question.arbiter = arbiter;
        tellHeld(cell, arbiter, sink);
        put(question, nowMs, sink);
    }

    /** Notifies an arbiter that is new to this entry of the running requests in the cell. */
    private void tellHeld(CellId cell, InstanceId arbiter, ActionSink sink) {
        if (arbiter.equals(told.put(cell, arbiter))) {
            return;
        }
        List<PeerMessage.HeldPlacement> held = new ArrayList<>();
        for (Question question : byNumber.values()) {
            TargetId target = question.request.target();
            if (!question.placed || target == null || !cell.equals(question.cell)) {
                continue;
            }
            question.arbiter = arbiter;
            question.counting.add(arbiter);
            PlacementSpec spec = question.spec();
            held.add(new PeerMessage.HeldPlacement(
                    question.number,
                    question.request.spec().customer(),
                    target,
                    spec.promptTokens(),
                    spec.outputTokens(),
                    question.answering));
        }
        if (!held.isEmpty()) {
            sink.accept(new Action.SendPeer(arbiter, new PeerMessage.PlacementsHeld(cell, held)));
        }
    }

    private void put(Question question, long nowMs, ActionSink sink) {
        if (question.placed) {
            return;
        }
        question.putAtMs = nowMs;
        EntryRequest request = question.request;
        PlacementSpec spec = question.spec();
        Set<TargetId> resting = rests.resting(nowMs);
        question.spared = !resting.isEmpty();
        question.excluded = excluded(question, resting);
        send(
                question,
                new PeerMessage.Place(
                        question.cell,
                        question.number,
                        request.spec().customer(),
                        request.spec().urgency(),
                        spec.prompt(),
                        spec.outputTokens(),
                        spec.objectiveAtMs() - nowMs,
                        request.spec().deadlineMs() - nowMs,
                        question.excluded),
                sink);
    }

    /**
     * The targets in backoff and those that have failed the request. An arbiter ignores a list of all targets, so the failed
     * ones are allowed again in that case; a target in backoff would reject the request.
     */
    private List<TargetId> excluded(Question question, Set<TargetId> resting) {
        Set<TargetId> excluded = new TreeSet<>(resting);
        excluded.addAll(question.request.failedTargets());
        boolean anyLeft = !excluded.containsAll(targets(question.cell));
        return List.copyOf(anyLeft ? excluded : resting);
    }

    private List<TargetId> targets(CellId cell) {
        return plan.cells().targets(cell).stream().map(TargetSettings::id).toList();
    }

    private void close(Question question) {
        byNumber.remove(question.number);
        byRequest.remove(question.request.spec().requestId());
    }

    /** All arbiters that count the request's slot are notified, or it would stay taken in their books. */
    private static void sendToCounting(Question question, PeerMessage message, ActionSink sink) {
        question.counting.forEach(arbiter -> sink.accept(new Action.SendPeer(arbiter, message)));
    }

    private static void send(Question question, PeerMessage message, ActionSink sink) {
        sink.accept(new Action.SendPeer(question.arbiter, message));
    }

    /** The cell for a request; all requests of a session use the same one, so that they find their prompt cached. */
    private @Nullable CellId cell(EntryRequest request) {
        PoolId pool = request.spec().pool();
        List<CellId> cells = plan.cells().cells(pool);
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

    /** One question, until the request's end at the target. */
    private static final class Question {
        private final long number;
        private final EntryRequest request;
        private final long answerDueAtMs;
        private CellId cell;
        private InstanceId arbiter;
        private long putAtMs;
        private boolean placed;
        private boolean answering;
        /** The arbiters in whose books the request has a slot: the one that placed it and those told of it since. */
        private final Set<InstanceId> counting = new TreeSet<>();
        /** Whether targets are excluded because they are in backoff. */
        private boolean spared;

        private List<TargetId> excluded = List.of();

        private Question(long number, EntryRequest request, CellId cell, InstanceId arbiter, long nowMs) {
            this.number = number;
            this.request = request;
            PlacementSpec placement = Objects.requireNonNull(request.spec().placement());
            this.answerDueAtMs = LateRequestHold.responseDueAtMs(
                    placement.objectiveAtMs(), request.spec().deadlineMs(), nowMs);
            this.cell = cell;
            this.arbiter = arbiter;
        }

        private PlacementSpec spec() {
            return Objects.requireNonNull(request.spec().placement());
        }

        private boolean isElsewhere(CellId newCell, InstanceId newArbiter) {
            return !newCell.equals(cell) || !newArbiter.equals(arbiter);
        }
    }
}
