package org.marjoramswitch.daemon.caller;

import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import java.util.function.UnaryOperator;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.exchange.RequestSubmitter;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.error.Failure;
import org.marjoramswitch.kernel.message.PeerMessage.KeyState;
import org.marjoramswitch.kernel.misc.Sha256;
import org.marjoramswitch.kernel.model.RequestSpec;
import org.marjoramswitch.kernel.model.RunState;
import org.marjoramswitch.kernel.request.RequestKey;

/**
 * Decides what a call that was read whole leads to: a new request at the gate, the answer of one that an earlier try
 * began, or a refusal.
 *
 * <p>Without a key every call is a new request. With a Request-Key the key's home decides ({@link RequestKeys}); an
 * instance that is not the home asks it and never runs the request itself, even where the home does not answer: the
 * home may have begun it. With an Idempotency-Key on a call that must not be repeated, the claim store says first which
 * request key the caller's own key stands for; from there on that request key decides alone.
 *
 * <p>A caller that goes takes its request with it, unless the request has a key. One with a key and repeatable is given
 * up after a grace time; one with a key and not repeatable goes on to its end, since its caller means it to happen and
 * will ask by the key whether it has.
 */
final class CallIntake {
    private static final HttpString REQUEST_ID = HttpString.tryFromString("Request-Id");
    private static final long CLAIM_RETRY_AFTER_MS = 1_000;

    private final CallerOptions options;
    private final RequestSubmitter gate;
    private final RequestKeys keys;
    private final Claims claims;
    private final LongSupplier clockMs;
    private final MemoryBudget budget;

    private CallIntake(
            CallerOptions options,
            RequestSubmitter gate,
            RequestKeys keys,
            Claims claims,
            LongSupplier clockMs,
            MemoryBudget budget) {
        this.options = options;
        this.gate = gate;
        this.keys = keys;
        this.claims = claims;
        this.clockMs = clockMs;
        this.budget = budget;
    }

    static CallIntake of(
            CallerOptions options,
            RequestSubmitter gate,
            RequestKeys keys,
            Claims claims,
            LongSupplier clockMs,
            MemoryBudget budget) {
        return new CallIntake(options, gate, keys, claims, clockMs, budget);
    }

    /** Takes a call; its body's bytes are reserved in the budget. To be called on the exchange's IO thread. */
    void take(CallerExchange caller, Call call) {
        caller.assign(call.pool().id());
        caller.digested(call.digest());
        String keyText = call.headers().requestKey();
        RequestKey key = keyText == null ? null : RequestKey.parse(keyText);
        if (keyText != null && (key == null || RequestKeys.isReserved(key))) {
            refuse(caller, call, Failure.notRun(ErrorType.MALFORMED_REQUEST, 0, "header Request-Key is no key"));
            return;
        }
        if (call.needsClaim()) {
            claim(caller, call, key);
        } else if (key == null) {
            runWithoutKey(caller, call);
        } else {
            takeKeyed(caller, call, key);
        }
    }

    private void takeKeyed(CallerExchange caller, Call call, RequestKey key) {
        if (keys.isHome(key)) {
            begin(caller, call, key, gate.nextRequestId(), CallIntake::releaseNothing);
        } else {
            askHome(caller, call, key);
        }
    }

    private void claim(CallerExchange caller, Call call, @Nullable RequestKey key) {
        if (key != null && !keys.isHome(key)) {
            askHome(caller, call, key);
            return;
        }
        long requestId = gate.nextRequestId();
        RequestKey claimed = key == null ? keys.ownKey(requestId) : key;
        String keyHash = Sha256.hex(Objects.requireNonNull(call.headers().idempotencyKey()));
        CompletableFuture<?> unused = claims.claim(call.customer(), keyHash, claimed.toString())
                .whenComplete((result, fault) -> {
                    Claims.Result known = fault == null ? result : new Claims.Result.NotClaimed("a fault");
                    caller.onIoThread(() -> onClaim(caller, call, claimed, requestId, known));
                });
    }

    private void onClaim(CallerExchange caller, Call call, RequestKey claimed, long requestId, Claims.Result result) {
        if (result instanceof Claims.Result.Claimed own) {
            begin(caller, call, claimed, requestId, own.release());
        } else if (result instanceof Claims.Result.HeldBy held) {
            followHolder(caller, call, claimed, requestId, held.requestKey());
        } else {
            // The claim may have taken effect all the same; dead, the request key can be found by a retry and runs
            // never.
            Failure failure = Failure.notRun(
                    ErrorType.CLAIM_UNAVAILABLE, CLAIM_RETRY_AFTER_MS, ((Claims.Result.NotClaimed) result).reason());
            refuse(caller, call, keys.refuse(call.customer(), claimed.toString(), failure));
        }
    }

    private void followHolder(CallerExchange caller, Call call, RequestKey claimed, long requestId, String holderText) {
        RequestKey holder = RequestKey.parse(holderText);
        if (holder == null) {
            refuse(caller, call, Failure.unknown(ErrorType.KEY_OUTCOME_UNKNOWN, ""));
            return;
        }
        if (holder.equals(claimed)) {
            // An earlier try of the same request claimed it; whichever of the two comes first here begins it.
            begin(caller, call, claimed, requestId, CallIntake::releaseNothing);
            return;
        }
        if (!keys.isHome(holder)) {
            keys.ask(call.customer(), holder, answer -> caller.onIoThread(() -> tellHolder(caller, call, answer)));
            return;
        }
        // Only the try that claimed may begin; asking makes a holder that never began dead.
        KeyState state = keys.stateOf(call.customer(), holder);
        if (state == KeyState.NEVER_SEEN || state == KeyState.DEAD) {
            tellHolder(caller, call, new HomeQueryResult.NotRun());
            return;
        }
        begin(caller, call, holder, requestId, CallIntake::releaseNothing);
    }

    /** A holder that did not run gives its claim back, and a later try may have the caller's key. */
    private void tellHolder(CallerExchange caller, Call call, HomeQueryResult answer) {
        Failure failure = answer instanceof HomeQueryResult.NotRun
                ? Failure.notRun(ErrorType.CLAIM_UNAVAILABLE, CLAIM_RETRY_AFTER_MS, "its last request did not run")
                : told(caller, answer);
        refuse(caller, call, failure);
    }

    private static void releaseNothing() {}

    private void askHome(CallerExchange caller, Call call, RequestKey key) {
        keys.ask(call.customer(), key, answer -> caller.onIoThread(() -> refuse(caller, call, told(caller, answer))));
    }

    private static Failure told(CallerExchange caller, HomeQueryResult answer) {
        if (answer instanceof HomeQueryResult.Lives lives) {
            String location = "http://" + lives.address() + caller.http().getRequestURI();
            String query = caller.http().getQueryString();
            caller.http()
                    .getResponseHeaders()
                    .put(Headers.LOCATION, query.isEmpty() ? location : location + '?' + query);
            return Failure.unknown(ErrorType.KEY_AT_HOME, lives.address().toString());
        }
        if (answer instanceof HomeQueryResult.Unknown unknown) {
            return new Failure(ErrorType.KEY_OUTCOME_UNKNOWN, RunState.UNKNOWN, unknown.retryAfterMs(), "");
        }
        return Failure.notRun(ErrorType.KEY_DEAD, 0, "");
    }

    /** @param release gives the caller's own key back where the request does not run */
    private void begin(CallerExchange caller, Call call, RequestKey key, long requestId, Runnable release) {
        KeyAdmission admission = keys.begin(
                call.customer(), key, call.fingerprint(), requestId, () -> keyedAnswer(call, requestId, release));
        if (admission instanceof KeyAdmission.Started started) {
            follow(caller, started.answer());
            submit(call, requestId, started.answer().buffer(), true);
        } else if (admission instanceof KeyAdmission.Found found) {
            budget.release(call.targetCall().body().length);
            if (!follow(caller, found.answer())) {
                caller.refuse(Failure.unknown(ErrorType.ANSWER_NOT_KEPT, ""), clockMs.getAsLong());
            }
        } else {
            Failure failure = ((KeyAdmission.Refused) admission).failure();
            if (failure.run() == RunState.NOT_RUN) {
                release.run();
            }
            refuse(caller, call, failure);
        }
    }

    private KeyedResponse keyedAnswer(Call call, long requestId, Runnable release) {
        ResponseBuffer.Limits limits = new ResponseBuffer.Limits(options.maxUnreadBytes(), options.maxKeptAnswerBytes());
        KeyedEnd end = new KeyedEnd(call, release);
        ResponseBuffer buffer = ResponseBuffer.create(limits, true, budget, end);
        end.answer = new KeyedResponse(requestId, call.customer(), call.repeatable(), buffer);
        return end.answer;
    }

    private void runWithoutKey(CallerExchange caller, Call call) {
        long requestId = gate.nextRequestId();
        ResponseBuffer buffer = ResponseBuffer.create(
                new ResponseBuffer.Limits(options.maxUnreadBytes(), 0),
                false,
                budget,
                (end, bytes) -> budget.release(call.targetCall().body().length));
        follow(caller, requestId, buffer, new UnkeyedListener(caller, requestId));
        submit(call, requestId, buffer, false);
    }

    private boolean follow(CallerExchange caller, KeyedResponse answer) {
        return follow(caller, answer.requestId(), answer.buffer(), new KeyedListener(caller, answer));
    }

    private boolean follow(CallerExchange caller, long requestId, ResponseBuffer buffer, ResponseWriter.Listener listener) {
        caller.assign(requestId);
        caller.http().getResponseHeaders().put(REQUEST_ID, requestId);
        ResponseWriter.Times times = new ResponseWriter.Times(
                options.times().keepAliveMs(), options.times().idleTimeoutMs());
        return ResponseWriter.of(caller.http(), requestId, times, listener).start(buffer);
    }

    private void submit(Call call, long requestId, ResponseBuffer buffer, boolean keyed) {
        RequestSpec spec = new RequestSpec(
                requestId,
                call.customer(),
                call.pool().id(),
                call.headers().urgency(),
                call.repeatable(),
                call.promptTokens(),
                call.hintTokens(),
                call.prefixHash(),
                clockMs.getAsLong() + call.pool().waitTimeoutMs());
        gate.submit(
                spec.withDigest(call.digest()),
                call.targetCall(),
                new ResponseRelay(
                        buffer, keyed ? noted(requestId) : ResponseRelay.Progress.NONE, UnaryOperator.identity()));
    }

    private void refuse(CallerExchange caller, Call call, Failure failure) {
        budget.release(call.targetCall().body().length);
        caller.refuse(failure, clockMs.getAsLong());
    }

    /** Follows the writing to the one caller of a request without a key. */
    private final class UnkeyedListener implements ResponseWriter.Listener {
        private final CallerExchange caller;
        private final long requestId;

        UnkeyedListener(CallerExchange caller, long requestId) {
            this.caller = caller;
            this.requestId = requestId;
        }

        @Override
        public void onHead(int status) {
            caller.headAt(status, clockMs.getAsLong());
        }

        @Override
        public @Nullable Failure onInputEnded() {
            // The caller may still read; it is told the request's end, which comes now, and how far it ran.
            gate.callerGone(requestId);
            return null;
        }

        @Override
        public void onEnd(ResponseWriter.Result result) {
            if (result.abandoned()) {
                gate.callerGone(requestId);
            }
            caller.end(result, clockMs.getAsLong());
        }
    }

    /** Follows the writing to one of the callers of a request with a key. */
    private final class KeyedListener implements ResponseWriter.Listener {
        private final CallerExchange caller;
        private final KeyedResponse answer;

        KeyedListener(CallerExchange caller, KeyedResponse answer) {
            this.caller = caller;
            this.answer = answer;
        }

        @Override
        public void onHead(int status) {
            caller.headAt(status, clockMs.getAsLong());
        }

        @Override
        public Failure onInputEnded() {
            return Failure.unknown(ErrorType.CALLER_GONE, "");
        }

        @Override
        public void onEnd(ResponseWriter.Result result) {
            caller.end(result, clockMs.getAsLong());
            if (result.abandoned() && answer.repeatable()) {
                caller.afterMs(options.times().reattachGraceMs(), this::giveUpIfAlone);
            }
        }

        private void giveUpIfAlone() {
            if (answer.buffer().isRunningAlone()) {
                gate.callerGone(answer.requestId());
            }
        }
    }

    /** Settles the book and the memory at the end of a request with a key. */
    private final class KeyedEnd implements ResponseBuffer.EndListener {
        private final Call call;
        private final Runnable release;
        private @Nullable KeyedResponse answer;

        KeyedEnd(Call call, Runnable release) {
            this.call = call;
            this.release = release;
        }

        @Override
        public void onEnd(ResponseEnd end, long totalBytes) {
            budget.release(call.targetCall().body().length);
            keys.ended(Objects.requireNonNull(answer), end, totalBytes);
            if (end instanceof ResponseEnd.Failed failed && failed.failure().run() == RunState.NOT_RUN) {
                release.run();
            }
        }
    }

    /** Notes in the book how far a request with a key has come. */
    private ResponseRelay.Progress noted(long requestId) {
        return new ResponseRelay.Progress() {
            @Override
            public void onSent() {
                keys.sent(requestId);
            }

            @Override
            public void onAnswering() {
                keys.answering(requestId);
            }
        };
    }
}
