package org.marjoramswitch.daemon.platform;

import io.undertow.util.HeaderMap;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.kernel.error.ErrorType;
import org.xnio.XnioExecutor;

/**
 * Carries calls to the service and decides what a failure means for each.
 *
 * <p>Reads are tried again elsewhere until their time is over. A write is tried again only while it is certain that
 * nothing of it was carried out: no connection was made, or the service said "too many requests". Once its first byte
 * may have left, a failure ends it as cut, because the service may carry it out now or later; a second attempt would
 * then answer for a state that the first one made.
 *
 * <p>All methods run on the IO thread.
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
            call.end(new GatewayCall.Outcome.NotSent("the store is closed"));
            return;
        }
        if (waitMs >= call.remainingMs(now)) {
            call.end(new GatewayCall.Outcome.NotSent("no address answers"));
            return;
        }
        if (waitMs > 0) {
            startLater(call, waitMs);
            return;
        }
        HostPort address = addresses.choose(now);
        connections.acquire(address, now, new GatewayConnections.Listener() {
            @Override
            public void connected(GatewayConnections.Link link) {
                send(call, link);
            }

            @Override
            public void refused(String reason) {
                addressFailed(address, reason);
                start(call);
            }
        });
    }

    /** Takes one call from the budget; false where it is spent. */
    boolean spend(String path) {
        if (budget.tryTake(runtime.nowMs())) {
            runtime.metrics().sent(path);
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
        connections.close();
    }

    private void startLater(GatewayCall call, long waitMs) {
        runtime.after(waitMs, () -> start(call));
    }

    private void send(GatewayCall call, GatewayConnections.Link link) {
        if (!spend(call.path())) {
            connections.release(link, runtime.nowMs());
            call.end(new GatewayCall.Outcome.NotSent("budget"));
            return;
        }
        long remainingMs = call.remainingMs(runtime.nowMs());
        long limitMs = call.isOnce()
                ? remainingMs
                : Math.min(remainingMs, runtime.options().timeouts().attemptMs());
        Attempt attempt = new Attempt(call, link);
        attempt.timer = runtime.after(limitMs, () -> attempt.cut("no answer in time"));
        link.send(call.method(), call.path(), call.body(), attempt);
    }

    private void answered(GatewayCall call, HostPort address, GatewayCall.Outcome.Answer answer) {
        int status = answer.status();
        if (status == TOO_MANY_REQUESTS) {
            limited(call, answer);
            return;
        }
        if (status >= FIRST_SERVER_ERROR) {
            // A server error may come after the write was handed on ("request timed out"), so it settles nothing.
            failed(call, address, "status " + status + ": " + GatewayCodec.errorMessage(answer.body()));
            return;
        }
        addresses.succeeded(address);
        call.end(answer);
    }

    private void limited(GatewayCall call, GatewayCall.Outcome.Answer answer) {
        runtime.metrics().rateLimited();
        long waitMs = addresses.backoffMs(call.countLimited());
        if (waitMs >= call.remainingMs(runtime.nowMs())) {
            call.end(answer);
            return;
        }
        startLater(call, waitMs);
    }

    private void failed(GatewayCall call, HostPort address, String reason) {
        addressFailed(address, reason);
        if (call.isOnce() || call.remainingMs(runtime.nowMs()) <= 0) {
            call.end(new GatewayCall.Outcome.Cut(reason));
            return;
        }
        start(call);
    }

    /** One exchange of a call, which ends once: by its answer, a cut or the timeout. */
    private final class Attempt implements GatewayExchange.Listener {
        private final GatewayCall call;
        private final GatewayConnections.Link link;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private XnioExecutor.@Nullable Key timer;
        private int status;
        private HeaderMap headers = NO_HEADERS;
        private boolean over;

        private Attempt(GatewayCall call, GatewayConnections.Link link) {
            this.call = call;
            this.link = link;
        }

        @Override
        public void head(int receivedStatus, HeaderMap receivedHeaders) {
            status = receivedStatus;
            headers = receivedHeaders;
        }

        @Override
        public void bytes(ByteBuffer bytes) {
            if (body.size() + bytes.remaining() > runtime.options().maxResponseBytes()) {
                cut("the answer is larger than " + runtime.options().maxResponseBytes() + " bytes");
                return;
            }
            byte[] copy = new byte[bytes.remaining()];
            bytes.get(copy);
            body.writeBytes(copy);
        }

        @Override
        public void ended(boolean reusable) {
            if (over) {
                return;
            }
            end();
            if (reusable) {
                connections.release(link, runtime.nowMs());
            } else {
                link.close();
            }
            answered(call, link.address(), new GatewayCall.Outcome.Answer(status, headers, body.toByteArray()));
        }

        @Override
        public void cut(String reason) {
            if (over) {
                return;
            }
            end();
            // Its late answer would be taken for the next exchange's, so the connection never goes back.
            link.close();
            connections.closeResting(link.address());
            failed(call, link.address(), reason);
        }

        private void end() {
            over = true;
            if (timer != null) {
                timer.remove();
            }
        }
    }
}
