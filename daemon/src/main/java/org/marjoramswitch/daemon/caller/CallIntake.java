package org.marjoramswitch.daemon.caller;

import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import java.util.function.UnaryOperator;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.exchange.CallerCheck;
import org.marjoramswitch.daemon.exchange.RequestSubmitter;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.error.Failure;
import org.marjoramswitch.kernel.message.PeerMessage.KeyState;
import org.marjoramswitch.kernel.misc.Sha256;
import org.marjoramswitch.kernel.model.RequestSpec;
import org.marjoramswitch.kernel.model.RunState;
import org.marjoramswitch.kernel.request.RequestKey;

/**
 * Maps a completely read call to a new request, to the response of a request that an earlier attempt started, or to a
 * rejection.
 *
 * <p>Without a key every call is a new request. With a Request-Key the key's home instance decides
 * ({@link RequestKeys}). Any other instance queries the home and never runs the request itself, even if the home does
 * not respond, because the home may have started it. With an Idempotency-Key on a call that is not repeatable, the
 * claim store first maps the caller's key to a request key, which then decides alone.
 *
 * <p>When its caller disconnects, a request without a key is cancelled. A repeatable request with a key is cancelled
 * after a grace period. One that is not repeatable runs to its end, because its caller may need it to run and can query
 * the outcome by the key.
 */
final class CallIntake {
    private static final HttpString REQUEST_ID = HttpString.tryFromString("Request-Id");
    private static final long CLAIM_RETRY_AFTER_MS = 1_000;

    private final CallerOptions options;
    private final RequestSubmitter submitter;
    private final RequestKeys keys;
    private final Claims claims;
    private final LongSupplier clockMs;

    private CallIntake(
            CallerOptions options, RequestSubmitter submitter, RequestKeys keys, Claims claims, LongSupplier clockMs) {
        this.options = options;
        this.submitter = submitter;
        this.keys = keys;
        this.claims = claims;
        this.clockMs = clockMs;
    }

    static CallIntake of(
            CallerOptions options, RequestSubmitter submitter, RequestKeys keys, Claims claims, LongSupplier clockMs) {
        return new CallIntake(options, submitter, keys, claims, clockMs);
    }

    /** Accepts a call whose memory is reserved. Must be called on the exchange's I/O thread. */
    void accept(CallerExchange caller, Call call) {
        caller.setPool(call.pool().id());
        caller.setDigest(call.digest());
        String keyText = call.headers().requestKey();
        RequestKey key = keyText == null ? null : RequestKey.parse(keyText);
        if (keyText != null && (key == null || RequestKeys.isReserved(key))) {
            refuse(caller, Failure.notRun(ErrorType.MALFORMED_REQUEST, 0, "header Request-Key is no key"));
            return;
        }
        if (call.needsClaim()) {
            claim(caller, call, key);
        } else if (key == null) {
            runWithoutKey(caller, call);
        } else {
            acceptKeyed(caller, call, key);
        }
    }

    private void acceptKeyed(CallerExchange caller, Call call, RequestKey key) {
        if (keys.isHome(key)) {
            begin(caller, call, key, submitter.nextRequestId(), CallIntake::releaseNothing);
        } else {
            queryHome(caller, call, key);
        }
    }

    private void claim(CallerExchange caller, Call call, @Nullable RequestKey key) {
        if (key != null && !keys.isHome(key)) {
            queryHome(caller, call, key);
            return;
        }
        long requestId = submitter.nextRequestId();
        RequestKey claimed = key == null ? keys.ownKey(requestId) : key;
        String keyHash = Sha256.hex(Objects.requireNonNull(call.headers().idempotencyKey()));
        CompletableFuture<?> unused = claims.claim(call.customer(), keyHash, claimed.toString())
                .whenComplete((result, error) -> {
                    Claims.Result outcome = error == null ? result : new Claims.Result.NotClaimed("a fault");
                    caller.onIoThread(() -> onClaim(caller, call, claimed, requestId, outcome));
                });
    }

    private void onClaim(CallerExchange caller, Call call, RequestKey claimed, long requestId, Claims.Result result) {
        if (result instanceof Claims.Result.Claimed claim) {
            begin(caller, call, claimed, requestId, claim.release());
        } else if (result instanceof Claims.Result.HeldBy held) {
            followHolder(caller, call, claimed, requestId, held.requestKey());
        } else {
            // The claim may still have taken effect. The request key is marked dead, so that the request never runs and
            // a retry that finds the claim is rejected as not run.
            Failure failure = Failure.notRun(
                    ErrorType.CLAIM_UNAVAILABLE, CLAIM_RETRY_AFTER_MS, ((Claims.Result.NotClaimed) result).reason());
            refuse(caller, keys.refuse(call.customer(), claimed.toString(), failure));
        }
    }

    private void followHolder(CallerExchange caller, Call call, RequestKey claimed, long requestId, String holderText) {
        RequestKey holder = RequestKey.parse(holderText);
        if (holder == null) {
            refuse(caller, Failure.unknown(ErrorType.KEY_OUTCOME_UNKNOWN, ""));
            return;
        }
        if (holder.equals(claimed)) {
            // An earlier attempt of the same request claimed the key; whichever arrives here first starts it.
            begin(caller, call, claimed, requestId, CallIntake::releaseNothing);
            return;
        }
        if (!keys.isHome(holder)) {
            keys.query(call.customer(), holder, result -> caller.onIoThread(() -> rejectForHolder(caller, result)));
            return;
        }
        // Only the attempt that claimed the key may start; the query marks a holder that never started as dead.
        KeyState state = keys.stateOf(call.customer(), holder);
        if (state == KeyState.NEVER_SEEN || state == KeyState.DEAD) {
            rejectForHolder(caller, new HomeQueryResult.NotRun());
            return;
        }
        begin(caller, call, holder, requestId, CallIntake::releaseNothing);
    }

    /** A holder that did not run releases its claim, so a later attempt may claim the caller's key. */
    private void rejectForHolder(CallerExchange caller, HomeQueryResult result) {
        Failure failure = result instanceof HomeQueryResult.NotRun
                ? Failure.notRun(ErrorType.CLAIM_UNAVAILABLE, CLAIM_RETRY_AFTER_MS, "its last request did not run")
                : failureOf(caller, result);
        refuse(caller, failure);
    }

    private static void releaseNothing() {}

    private void queryHome(CallerExchange caller, Call call, RequestKey key) {
        keys.query(call.customer(), key, result -> caller.onIoThread(() -> refuse(caller, failureOf(caller, result))));
    }

    private static Failure failureOf(CallerExchange caller, HomeQueryResult result) {
        if (result instanceof HomeQueryResult.AtHome home) {
            String location = "http://" + home.address() + caller.http().getRequestURI();
            String query = caller.http().getQueryString();
            caller.http()
                    .getResponseHeaders()
                    .put(Headers.LOCATION, query.isEmpty() ? location : location + '?' + query);
            return Failure.unknown(ErrorType.KEY_AT_HOME, home.address().toString());
        }
        if (result instanceof HomeQueryResult.Unknown unknown) {
            return new Failure(ErrorType.KEY_OUTCOME_UNKNOWN, RunState.UNKNOWN, unknown.retryAfterMs(), "");
        }
        return Failure.notRun(ErrorType.KEY_DEAD, 0, "");
    }

    /** @param release releases the claim on the caller's key if the request does not run */
    private void begin(CallerExchange caller, Call call, RequestKey key, long requestId, Runnable release) {
        KeyAdmission admission = keys.begin(
                call.customer(),
                key,
                call.fingerprint(),
                requestId,
                () -> keyedResponse(call, caller.memory(), requestId, release));
        if (admission instanceof KeyAdmission.Started started) {
            attach(caller, started.response());
            submit(call, requestId, started.response().buffer(), CallerCheck.CONNECTED, true);
        } else if (admission instanceof KeyAdmission.Found found) {
            caller.memory().releaseAll();
            if (!attach(caller, found.response())) {
                caller.refuse(Failure.unknown(ErrorType.ANSWER_NOT_KEPT, ""), clockMs.getAsLong());
            }
        } else {
            Failure failure = ((KeyAdmission.Refused) admission).failure();
            if (failure.run() == RunState.NOT_RUN) {
                release.run();
            }
            refuse(caller, failure);
        }
    }

    private KeyedResponse keyedResponse(Call call, RequestMemory memory, long requestId, Runnable release) {
        ResponseBuffer.Limits limits =
                new ResponseBuffer.Limits(options.maxUnreadBytes(), options.maxCachedResponseBytes());
        KeyedEndListener end = new KeyedEndListener(memory, release);
        ResponseBuffer buffer = ResponseBuffer.create(limits, true, memory.account(), end);
        end.response = new KeyedResponse(requestId, call.customer(), call.repeatable(), buffer);
        return end.response;
    }

    private void runWithoutKey(CallerExchange caller, Call call) {
        long requestId = submitter.nextRequestId();
        RequestMemory memory = caller.memory();
        ResponseBuffer buffer = ResponseBuffer.create(
                new ResponseBuffer.Limits(options.maxUnreadBytes(), 0),
                false,
                memory.account(),
                (end, bytes) -> memory.end(clockMs.getAsLong()));
        ResponseWriter writer = writer(caller, requestId, new UnkeyedListener(caller, requestId));
        writer.start(buffer);
        submit(call, requestId, buffer, writer::checkCaller, false);
    }

    /** Writes the response to the caller from its first byte; false if its first bytes have been freed. */
    private boolean attach(CallerExchange caller, KeyedResponse response) {
        return writer(caller, response.requestId(), new KeyedListener(caller, response))
                .start(response.buffer());
    }

    private ResponseWriter writer(CallerExchange caller, long requestId, ResponseWriter.Listener listener) {
        caller.setRequestId(requestId);
        caller.http().getResponseHeaders().put(REQUEST_ID, requestId);
        ResponseWriter.Times times = new ResponseWriter.Times(
                options.times().keepAliveMs(), options.times().idleTimeoutMs());
        return ResponseWriter.of(caller.http(), requestId, times, listener);
    }

    /** @param check a request with a key continues without its caller, so it is never cancelled by a check */
    private void submit(Call call, long requestId, ResponseBuffer buffer, CallerCheck check, boolean keyed) {
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
        submitter.submit(
                spec.withDigest(call.digest()),
                call.targetCall(),
                new ResponseRelay(
                        buffer,
                        keyed ? recordingProgress(requestId) : ResponseRelay.Progress.NONE,
                        UnaryOperator.identity(),
                        check));
    }

    private void refuse(CallerExchange caller, Failure failure) {
        caller.memory().releaseAll();
        caller.refuse(failure, clockMs.getAsLong());
    }

    /** Handles the progress of writing the response to the only caller of a request without a key. */
    private final class UnkeyedListener implements ResponseWriter.Listener {
        private final CallerExchange caller;
        private final long requestId;

        UnkeyedListener(CallerExchange caller, long requestId) {
            this.caller = caller;
            this.requestId = requestId;
        }

        @Override
        public void onHead(int status) {
            caller.headWritten(status, clockMs.getAsLong());
        }

        @Override
        public @Nullable Failure onInputEnded() {
            // The caller may still read: it receives the request's end, which follows now, with its run state.
            submitter.callerGone(requestId);
            return null;
        }

        @Override
        public void onEnd(ResponseWriter.Result result) {
            if (result.abandoned()) {
                submitter.callerGone(requestId);
            }
            caller.end(result, clockMs.getAsLong());
        }
    }

    /** Handles the progress of writing the response to one of the callers of a request with a key. */
    private final class KeyedListener implements ResponseWriter.Listener {
        private final CallerExchange caller;
        private final KeyedResponse response;

        KeyedListener(CallerExchange caller, KeyedResponse response) {
            this.caller = caller;
            this.response = response;
        }

        @Override
        public void onHead(int status) {
            caller.headWritten(status, clockMs.getAsLong());
        }

        @Override
        public Failure onInputEnded() {
            return Failure.unknown(ErrorType.CALLER_GONE, "");
        }

        @Override
        public void onEnd(ResponseWriter.Result result) {
            caller.end(result, clockMs.getAsLong());
            if (result.abandoned() && response.repeatable()) {
                caller.afterMs(options.times().reattachGraceMs(), this::cancelIfUnread);
            }
        }

        private void cancelIfUnread() {
            if (response.buffer().isRunningWithoutReaders()) {
                submitter.callerGone(response.requestId());
            }
        }
    }

    /** Updates the request's key and releases its memory at the end of a request with a key. */
    private final class KeyedEndListener implements ResponseBuffer.EndListener {
        private final RequestMemory memory;
        private final Runnable release;
        private @Nullable KeyedResponse response;

        KeyedEndListener(RequestMemory memory, Runnable release) {
            this.memory = memory;
            this.release = release;
        }

        @Override
        public void onEnd(ResponseEnd end, long totalBytes) {
            memory.end(clockMs.getAsLong());
            keys.ended(Objects.requireNonNull(response), end, totalBytes);
            if (end instanceof ResponseEnd.Failed failed && failed.failure().run() == RunState.NOT_RUN) {
                release.run();
            }
        }
    }

    /** Records the progress of a request with a key. */
    private ResponseRelay.Progress recordingProgress(long requestId) {
        return new ResponseRelay.Progress() {
            @Override
            public void onSent() {
                keys.sent(requestId);
            }

            @Override
            public void onResponseStarted() {
                keys.answering(requestId);
            }
        };
    }
}
