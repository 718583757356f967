package org.marjoramswitch.daemon.core;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.exchange.TargetCall;
import org.marjoramswitch.daemon.exchange.TargetClient;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.daemon.peer.PeerSender;
import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.error.Failure;
import org.marjoramswitch.kernel.event.Event;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.model.TargetOutcome;
import org.marjoramswitch.kernel.model.Usage;
import org.marjoramswitch.kernel.settings.FleetSettings;
import org.marjoramswitch.kernel.settings.PoolSettings;
import org.marjoramswitch.kernel.settings.TargetSettings;

/** Executes the kernel's actions. Confined to the decision thread. */
final class ActionRunner {
    private static final KeyValueLog LOG = KeyValueLog.of(ActionRunner.class);
    private static final KeyValueLog DECISIONS = KeyValueLog.of(org.marjoramswitch.kernel.action.Decision.class);

    private final OpenRequests requests;
    private final EventSink events;
    private final PeerSender peers;
    private final TargetClient targets;
    private final Consumer<Action.Persist> persister;
    private final CompletableFuture<Void> drained = new CompletableFuture<>();
    private FleetSettings settings = FleetSettings.NONE;

    private ActionRunner(
            OpenRequests requests,
            EventSink events,
            PeerSender peers,
            TargetClient targets,
            Consumer<Action.Persist> persister) {
        this.requests = requests;
        this.events = events;
        this.peers = peers;
        this.targets = targets;
        this.persister = persister;
    }

    static ActionRunner of(
            OpenRequests requests,
            EventSink events,
            PeerSender peers,
            TargetClient targets,
            Consumer<Action.Persist> persister) {
        return new ActionRunner(requests, events, peers, targets, persister);
    }

    CompletableFuture<Void> drained() {
        return drained;
    }

    /** Executes the kernel's actions for an event, in order. */
    void execute(Event event, List<Action> actions) {
        if (event instanceof Event.SettingsAccepted accepted) {
            settings = accepted.settings();
        }
        actions.forEach(this::execute);
        if (event instanceof Event.TargetEnded ended) {
            settleAttempt(ended.requestId());
        }
    }

    private void execute(Action action) {
        if (action instanceof Action.SendPeer send) {
            peers.send(send.to(), send.message());
        } else if (action instanceof Action.Dispatch dispatch) {
            dispatch(dispatch);
        } else if (action instanceof Action.CancelAttempt cancel) {
            cancel(cancel.requestId());
        } else if (action instanceof Action.ExpireAttempt expire) {
            expire(expire.requestId());
        } else if (action instanceof Action.EndSilentAttempt silent) {
            endSilent(silent.requestId());
        } else if (action instanceof Action.QueryProgress query) {
            reportProgress(query.requestId());
        } else if (action instanceof Action.Complete complete) {
            complete(complete.requestId());
        } else if (action instanceof Action.Fail fail) {
            fail(fail.requestId(), fail.failure());
        } else if (action instanceof Action.Persist persist) {
            persister.accept(persist);
        } else if (action instanceof Action.Decided decided) {
            DECISIONS.info(decided.decision().event(), decided.decision().fields());
        } else if (action instanceof Action.Drained) {
            drained.complete(null);
        }
    }

    private void dispatch(Action.Dispatch dispatch) {
        OpenRequest request = requests.find(dispatch.requestId());
        TargetSettings target = settings.targets().get(dispatch.target());
        PoolSettings pool = target == null ? null : settings.pools().get(target.pool());
        if (request == null || target == null || pool == null) {
            refuse(dispatch, "no such request, target or pool", TargetOutcome.REFUSED);
            return;
        }
        boolean firstDispatch = !request.wasSent();
        if (!request.beginAttempt(dispatch.attempt())) {
            refuse(dispatch, "the request has ended or cannot be continued", TargetOutcome.NOT_CONTINUABLE);
            return;
        }
        if (firstDispatch) {
            requests.stopWaiting();
        }
        request.setEndOutstanding(true);
        AttemptRelay relay = AttemptRelay.of(request, dispatch.attempt(), target, events);
        try {
            TargetCall call =
                    request.nextCall().fetchingFrom(fetchSource(dispatch)).startingBy(startByNs(dispatch));
            request.setRunning(targets.start(target, pool, call, relay));
        } catch (RuntimeException fault) {
            LOG.error(fault, "attempt_failed", "error", ErrorType.INTERNAL.number(), "request", request.id());
            // The request may have been sent, so the attempt must not count as refused.
            relay.onEnd(TargetOutcome.BROKEN_BEFORE_ANSWER, Usage.NONE);
        }
    }

    private static long startByNs(Action.Dispatch dispatch) {
        boolean limited = dispatch.startWithinMs() != PeerMessage.Placed.ANY_TIME;
        return limited ? System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(dispatch.startWithinMs()) : 0;
    }

    private @Nullable TargetSettings fetchSource(Action.Dispatch dispatch) {
        TargetId fetchSource = dispatch.fetchFrom();
        return fetchSource == null ? null : settings.targets().get(fetchSource);
    }

    /** Reports to the kernel that nothing was sent, so that it releases the slot and corrects its counters. */
    private void refuse(Action.Dispatch dispatch, String reason, TargetOutcome outcome) {
        LOG.warn("dispatch_refused", "request", dispatch.requestId(), "target", dispatch.target(), "reason", reason);
        events.offer(new Event.TargetEnded(dispatch.requestId(), outcome, Usage.NONE));
    }

    private void cancel(long requestId) {
        OpenRequest request = requests.find(requestId);
        if (request != null) {
            request.cancelRunning();
        }
    }

    private void expire(long requestId) {
        OpenRequest request = requests.find(requestId);
        if (request != null) {
            request.expireRunning();
        }
    }

    private void endSilent(long requestId) {
        OpenRequest request = requests.find(requestId);
        if (request != null) {
            request.endSilentAttempt();
        }
    }

    private void reportProgress(long requestId) {
        OpenRequest request = requests.find(requestId);
        if (request == null) {
            return;
        }
        request.checkCaller(gone -> {
            if (!gone) {
                events.offer(new Event.ProgressReported(requestId, request.sinceProgressMs(System.nanoTime())));
            }
        });
    }

    private void complete(long requestId) {
        OpenRequest request = requests.find(requestId);
        if (request == null) {
            return;
        }
        request.releaseError();
        // The caller has received its response by the time the target's response is complete. A caller without one
        // would otherwise wait forever.
        if (!request.isCompleted() && request.fail(Failure.unknown(ErrorType.INTERNAL, "no answer"))) {
            LOG.error("completed_without_answer", "error", ErrorType.INTERNAL.number(), "request", requestId);
        }
        request.markDecided();
        release(request);
    }

    private void fail(long requestId, Failure failure) {
        OpenRequest request = requests.find(requestId);
        if (request == null) {
            return;
        }
        request.fail(failure);
        request.markDecided();
        release(request);
    }

    private void settleAttempt(long requestId) {
        OpenRequest request = requests.find(requestId);
        if (request != null) {
            request.setEndOutstanding(false);
            release(request);
        }
    }

    private void release(OpenRequest request) {
        if (request.isDone()) {
            requests.remove(request);
        }
    }

    /** Fails the request of an event whose decision threw, since no further event may end it. */
    void onDecisionFailed(Event event) {
        if (event instanceof Event.RequestArrived arrived) {
            failInternally(arrived.request().requestId());
        } else if (event instanceof Event.TargetEnded ended) {
            failInternally(ended.requestId());
            settleAttempt(ended.requestId());
        } else if (event instanceof Event.CallerGone gone) {
            failInternally(gone.requestId());
        }
    }

    private void failInternally(long requestId) {
        OpenRequest request = requests.find(requestId);
        if (request == null) {
            return;
        }
        request.cancelRunning();
        request.failBySending(ErrorType.INTERNAL, "decision failed");
        request.markDecided();
        release(request);
    }

    /** Ends a request because the decision loop is closing. */
    void abort(OpenRequest request) {
        request.failBySending(ErrorType.INSTANCE_LEAVING, "");
        request.cancelRunning();
        requests.remove(request);
    }
}
