package org.marjoramswitch.daemon.platform;

import io.undertow.util.HeaderMap;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.daemon.target.HeldResponses;
import org.marjoramswitch.daemon.target.PendingBytes;
import org.marjoramswitch.kernel.error.ErrorType;
import org.xnio.XnioExecutor;

/**
 * Sends calls to the store and decides how a failure affects each.
 *
 * <p>Reads are retried at other addresses until their deadline. A write is retried only while it is certain that it had
 * no effect: no connection was made, or the store responded "too many requests". Once its first byte may have been
 * sent, a failure ends the write as {@link GatewayCall.Outcome.Failed}, because the store may carry it out now or
 * later; the response to a second attempt would then reflect the state left by the first.
 *
 * <p>All methods must be called on the I/O thread.
 */
final class GatewayCaller {
    private static final KeyValueLog LOG = KeyValueLog.of(GatewayCaller.class);
    private static final HeaderMap NO_HEADERS = new HeaderMap();
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int FIRST_SERVER_ERROR = 500;

    private final GatewayRuntime runtime;
    private final GatewayAddresses addresses;
    private final GatewayConnections connections;
    private final TokenBucket budget;
    /** Reads that wait for the end of the probe of a failed address. */
    private final List<GatewayCall> awaitingProbe = new ArrayList<>();

    private boolean closed;

    private GatewayCaller(GatewayRuntime runtime, GatewayAddresses addresses) {
        KeyValueOptions.Budget limits = runtime.options().budget();
        this.runtime = runtime;
        this.addresses = addresses;
        this.connections = GatewayConnections.on(runtime);
        this.budget = TokenBucket.full(limits.callsPerSecond(), limits.burstCalls(), runtime.nowMs());
    }

    static GatewayCaller on(GatewayRuntime runtime, GatewayAddresses addresses) {
        return new GatewayCaller(runtime, addresses);
    }

    void start(GatewayCall call) {
        long now = runtime.nowMs();
        long waitMs = addresses.waitMs(now);
        if (closed) {
            call.complete(new GatewayCall.Outcome.NotSent("the store is closed"));
            return;
        }
        if (waitMs >= call.remainingMs(now)) {
            call.complete(new GatewayCall.Outcome.NotSent("all addresses are in backoff"));
            return;
        }
        if (waitMs > 0) {
            startLater(call, waitMs);
            return;
        }
        HostPort address = addresses.choose(now);
        // A write or a poll may stay without a response until its deadline, so only a read is used as a probe.
        if (!call.isOnce() && !addresses.tryUse(address)) {
            awaitingProbe.add(call);
            return;
        }
        connections.acquire(address, now, new GatewayConnections.Listener() {
            @Override
            public void onConnected(GatewayConnections.Link link) {
                send(call, link);
            }

            @Override
            public void onConnectFailed(String reason) {
                addressFailed(address, reason);
                start(call);
            }
        });
    }

    /** Takes one call from the budget; false if the budget is spent. */
    boolean takeFromBudget(String path) {
        if (budget.tryTake(runtime.nowMs())) {
            runtime.metrics().countCall(path);
            return true;
        }
        runtime.metrics().budgetSpent();
        LOG.warn("platform_budget_spent", "type", ErrorType.PLATFORM_BUDGET_SPENT, "path", path);
        return false;
    }

    GatewayAddresses addresses() {
        return addresses;
    }

    GatewayConnections connections() {
        return connections;
    }

    void addressFailed(HostPort address, String reason) {
        runtime.metrics().addressFailed();
        addresses.failed(address, runtime.nowMs());
        startAwaiting();
        LOG.warn(
                "platform_address_failed",
                "type",
                ErrorType.PLATFORM_UNAVAILABLE,
                "address",
                address,
                "reason",
                reason);
    }

    void close() {
        closed = true;
        startAwaiting();
        connections.close();
    }

    /** Starts the reads that waited for a probe; if it failed, they wait for the end of the backoff. */
    private void startAwaiting() {
        List<GatewayCall> waiting = List.copyOf(awaitingProbe);
        awaitingProbe.clear();
        waiting.forEach(this::start);
    }

    private void startLater(GatewayCall call, long waitMs) {
        runtime.after(waitMs, () -> start(call));
    }

    private void send(GatewayCall call, GatewayConnections.Link link) {
        if (!takeFromBudget(call.path())) {
            connections.release(link, runtime.nowMs());
            addresses.probeAbandoned(link.address());
            startAwaiting();
            call.complete(new GatewayCall.Outcome.NotSent("budget"));
            return;
        }
        long remainingMs = call.remainingMs(runtime.nowMs());
        long limitMs = call.isOnce()
                ? remainingMs
                : Math.min(remainingMs, runtime.options().timeouts().attemptMs());
        Attempt attempt = new Attempt(call, link);
        attempt.timer = runtime.after(limitMs, () -> attempt.onFailed("no response within the timeout"));
        link.send(call.method(), call.path(), call.body(), attempt);
    }

    private void onResponse(GatewayCall call, HostPort address, GatewayCall.Outcome.Response response) {
        int status = response.status();
        if (status == TOO_MANY_REQUESTS) {
            onRateLimited(call, address, response);
            return;
        }
        if (status >= FIRST_SERVER_ERROR) {
            // A server error may follow after the write was forwarded ("request timed out"), so the outcome stays
            // unknown.
            onAttemptFailed(call, address, "status " + status + ": " + GatewayCodec.errorMessage(response.body()));
            return;
        }
        addresses.succeeded(address);
        startAwaiting();
        call.complete(response);
    }

    private void onRateLimited(GatewayCall call, HostPort address, GatewayCall.Outcome.Response response) {
        runtime.metrics().rateLimited();
        addresses.failed(address, runtime.nowMs());
        startAwaiting();
        if (addresses.waitMs(runtime.nowMs()) >= call.remainingMs(runtime.nowMs())) {
            call.complete(response);
            return;
        }
        start(call);
    }

    private void onAttemptFailed(GatewayCall call, HostPort address, String reason) {
        addressFailed(address, reason);
        if (call.isOnce() || call.remainingMs(runtime.nowMs()) <= 0) {
            call.complete(new GatewayCall.Outcome.Failed(reason));
            return;
        }
        start(call);
    }

    /** One HTTP exchange of a call. Ends exactly once: with a response, a failure or a timeout. */
    private final class Attempt implements GatewayExchange.Listener {
        private final GatewayCall call;
        private final GatewayConnections.Link link;
        private final PendingBytes body = new PendingBytes();
        private final HeldResponses.Holder held;
        private XnioExecutor.@Nullable Key timer;
        private int status;
        private HeaderMap headers = NO_HEADERS;
        private boolean ended;

        private Attempt(GatewayCall call, GatewayConnections.Link link) {
            this.call = call;
            this.link = link;
            this.held = connections.holder(() -> onFailed("the memory for responses is exhausted"));
        }

        @Override
        public void onHead(int receivedStatus, HeaderMap receivedHeaders) {
            status = receivedStatus;
            headers = receivedHeaders;
        }

        @Override
        public void onBytes(ByteBuffer bytes) {
            if (body.size() + bytes.remaining() > runtime.options().maxResponseBytes()) {
                onFailed("the response is larger than " + runtime.options().maxResponseBytes() + " bytes");
                return;
            }
            byte[] copy = new byte[bytes.remaining()];
            bytes.get(copy);
            body.add(copy, 0, copy.length);
            if (!held.hold(body.allocatedBytes())) {
                onFailed("the memory for responses is exhausted");
            }
        }

        @Override
        public void onComplete(boolean reusable) {
            if (ended) {
                return;
            }
            end();
            if (reusable) {
                connections.release(link, runtime.nowMs());
            } else {
                link.close();
            }
            onResponse(call, link.address(), new GatewayCall.Outcome.Response(status, headers, body.toByteArray()));
        }

        @Override
        public void onFailed(String reason) {
            if (ended) {
                return;
            }
            end();
            // A late response would be taken for that of the next exchange, so the connection is never reused.
            link.close();
            connections.closeIdle(link.address());
            onAttemptFailed(call, link.address(), reason);
        }

        private void end() {
            ended = true;
            held.close();
            if (timer != null) {
                timer.remove();
            }
        }
    }
}
