package org.marjoramswitch.tool.load;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.tool.http.CallEnd;
import org.marjoramswitch.tool.http.HttpCall;
import org.marjoramswitch.tool.http.RunningCall;
import org.marjoramswitch.tool.load.AddressResponse.Endpoint;

/**
 * State of a request that has not ended: its key, its number of attempts and its running attempt. Confined to the
 * thread that drives the load.
 *
 * <p>A key identifies one execution. What the fleet reports about a key holds for all attempts that carried it: a "not
 * run" also resolves earlier attempts that got no response. After a change of key, unresolved attempts with the former
 * key stay unknown.
 */
final class OpenRequest {
    private final RequestPlan plan;
    private final CustomerDriver customer;
    private final Caller caller;
    private final long startedNs;
    private int attempts;
    private int keys;
    private String key = "";
    private @Nullable Endpoint home;
    private @Nullable Endpoint attemptEndpoint;
    private boolean homeUnreachable;
    private boolean keyOutcomeUnknown;
    private boolean formerKeyOutcomeUnknown;
    private long attemptStartedNs;
    private @Nullable ResponseReader reader;
    private @Nullable RunningCall call;

    OpenRequest(RequestPlan plan, CustomerDriver customer, Caller caller, long startedNs) {
        this.plan = plan;
        this.customer = customer;
        this.caller = caller;
        this.startedNs = startedNs;
    }

    RequestPlan plan() {
        return plan;
    }

    CustomerDriver customer() {
        return customer;
    }

    Caller caller() {
        return caller;
    }

    int attempts() {
        return attempts;
    }

    long startedNs() {
        return startedNs;
    }

    long attemptStartedNs() {
        return attemptStartedNs;
    }

    /** Whether the request has a key, so that a further attempt can refer to the same execution. */
    boolean isKeyed() {
        return !key.isEmpty();
    }

    /** Whether any attempt may have been executed, according to the fleet's responses. */
    boolean mayHaveRun() {
        return keyOutcomeUnknown || formerKeyOutcomeUnknown;
    }

    /** Returns the key's home instance; null if it has none or a connection to it could not be opened. */
    @Nullable
    Endpoint reachableHome() {
        return homeUnreachable ? null : home;
    }

    /** Returns the endpoint of the last attempt; null if there was none to send it to. */
    @Nullable
    Endpoint attemptEndpoint() {
        return attemptEndpoint;
    }

    /** Creates a new key with this endpoint as its home, so that the next attempt is a separate execution. */
    void renewKey(Endpoint endpoint) {
        formerKeyOutcomeUnknown |= keyOutcomeUnknown;
        keyOutcomeUnknown = false;
        keys++;
        home = endpoint;
        homeUnreachable = false;
        key = endpoint.requestKeyPrefix().isEmpty() ? "" : endpoint.requestKeyPrefix() + plan.requestId() + "-" + keys;
    }

    /** Returns the HTTP request of the next attempt, with the key header if there is a key. */
    HttpCall callWithKey() {
        if (key.isEmpty()) {
            return plan.call();
        }
        Map<String, String> headers = new HashMap<>(plan.call().headers());
        headers.put(CallerHeaders.REQUEST_KEY, key);
        return new HttpCall(
                plan.call().method(), plan.call().path(), headers, plan.call().body());
    }

    void countAttempt(@Nullable Endpoint endpoint, long nowNs) {
        attempts++;
        attemptEndpoint = endpoint;
        attemptStartedNs = nowNs;
    }

    void attemptStarted(ResponseReader newReader, RunningCall newCall) {
        reader = newReader;
        call = newCall;
    }

    void attemptEnded(AttemptResult result) {
        reader = null;
        call = null;
        homeUnreachable |= result.end() == CallEnd.NOT_CONNECTED && Objects.equals(attemptEndpoint, home);
        if (result.saysNotRun()) {
            keyOutcomeUnknown = false;
        } else if (result.verdict() != AttemptVerdict.NOT_RUN) {
            keyOutcomeUnknown = true;
        }
    }

    /** Cancels the running attempt if no byte was received since {@code sinceNs}. */
    void cancelIfSilentSince(long sinceNs) {
        ResponseReader runningReader = reader;
        RunningCall runningCall = call;
        if (runningReader == null || runningCall == null) {
            return;
        }
        if (runningReader.lastReceivedNs() - sinceNs < 0) {
            runningCall.cancel();
        }
    }
}
