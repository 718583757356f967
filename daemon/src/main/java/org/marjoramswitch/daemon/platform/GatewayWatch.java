package org.marjoramswitch.daemon.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.util.HeaderMap;
import io.undertow.util.Methods;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.daemon.platform.KeyValueStore.WatchEvent;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.daemon.target.HeldResponses;
import org.marjoramswitch.daemon.target.PendingBytes;
import org.marjoramswitch.kernel.error.ErrorType;
import org.xnio.XnioExecutor;

/**
 * Watch of a prefix that tolerates silently dropped connections.
 *
 * <p>A watch connection is silent when nothing changes, and equally silent when a middlebox has dropped its state; the
 * two cases cannot be distinguished on that connection. Each connection is therefore trusted for a bounded time only: a
 * second one is then opened from the revision after the last delivered one, and once the store has acknowledged it, the
 * first is closed. Changes that the first one missed are in the store's history and arrive on the second. A change is
 * thus delayed by at most the maximum watch age plus the time of an acknowledgement; the default age of 3 s costs one
 * call per watch every 3 s.
 *
 * <p>While both connections are open, a change may arrive on both; it is delivered only if its revision is above the
 * last delivered one. All changes of one revision arrive in one message, so none of them is dropped.
 *
 * <p>If the second connection cannot be opened, or its start revision has been compacted, the watch breaks: the
 * listener receives {@link WatchEvent.Broken} once, as the last event, and reads the prefix again.
 *
 * <p>Runs on the I/O thread; events are delivered in order by the given executor.
 */
final class GatewayWatch implements AutoCloseable {
    static final String PATH = "/v3/watch";
    private static final KeyValueLog LOG = KeyValueLog.of(GatewayWatch.class);
    private static final int HTTP_OK = 200;

    private final GatewayRuntime runtime;
    private final GatewayCaller caller;
    private final String prefix;
    private final Executor delivery;
    private final Consumer<WatchEvent> listener;
    private long deliveredRevision;
    private @Nullable Stream current;
    private @Nullable Stream next;
    private XnioExecutor.@Nullable Key renewal;
    private boolean deferred;
    private boolean ended;

    private GatewayWatch(
            GatewayRuntime runtime,
            GatewayCaller caller,
            String prefix,
            long afterRevision,
            Executor delivery,
            Consumer<WatchEvent> listener) {
        this.runtime = runtime;
        this.caller = caller;
        this.prefix = prefix;
        this.deliveredRevision = afterRevision;
        this.delivery = delivery;
        this.listener = listener;
    }

    static GatewayWatch of(
            GatewayRuntime runtime,
            GatewayCaller caller,
            String prefix,
            long afterRevision,
            Executor delivery,
            Consumer<WatchEvent> listener) {
        return new GatewayWatch(runtime, caller, prefix, afterRevision, delivery, listener);
    }

    /** Opens a connection that replaces the current one, if any. */
    void open() {
        if (ended) {
            return;
        }
        long now = runtime.nowMs();
        long waitMs = caller.addresses().waitMs(now);
        if (waitMs > 0) {
            openLater(waitMs);
            return;
        }
        deferred = false;
        HostPort address = caller.addresses().choose(now);
        Stream stream = new Stream(address);
        next = stream;
        stream.acknowledgeTimer =
                runtime.after(runtime.options().timeouts().callMs(), () -> stream.fail("no acknowledgement in time"));
        caller.connections().connect(address, stream);
    }

    /** Waits once for the backoff caused by another call's failure, so that a single failed call breaks no watch. */
    private void openLater(long waitMs) {
        if (deferred) {
            breakWatch("all addresses are in backoff");
            return;
        }
        deferred = true;
        renewal = runtime.after(waitMs, this::open);
    }

    @Override
    public void close() {
        ended = true;
        if (renewal != null) {
            renewal.remove();
        }
        closeStream(current);
        closeStream(next);
    }

    private void onAcknowledged(Stream stream) {
        if (current != null) {
            runtime.metrics().watchRenewed();
        }
        closeStream(current);
        current = stream;
        next = null;
        caller.addresses().succeeded(stream.address);
        renewal = runtime.after(runtime.options().watchMaxAgeMs(), this::open);
    }

    private void breakWatch(String reason) {
        if (ended) {
            return;
        }
        close();
        runtime.metrics().watchBroken();
        LOG.warn(
                "platform_watch_broken",
                "type",
                ErrorType.PLATFORM_UNAVAILABLE,
                "prefix",
                prefix,
                "revision",
                deliveredRevision,
                "reason",
                reason);
        deliver(new WatchEvent.Broken());
    }

    private void receive(Stream stream, JsonNode result) {
        if (result.path("canceled").asBoolean()) {
            breakWatch("cancelled by the store");
            return;
        }
        if (result.path("created").asBoolean()) {
            onCreated(stream, GatewayCodec.revision(result));
            return;
        }
        JsonNode events = result.path("events");
        if (events.isEmpty()) {
            // A progress notification: all changes up to its revision have been delivered on this connection.
            deliveredRevision = Math.max(deliveredRevision, GatewayCodec.revision(result));
            return;
        }
        long before = deliveredRevision;
        for (JsonNode event : events) {
            deliverAfter(before, event);
        }
    }

    private void onCreated(Stream stream, long storeRevision) {
        if (storeRevision < deliveredRevision) {
            // The store was restored from a backup. A watch from a revision that it has not reached again would report
            // no change until then.
            breakWatch("the store's revision went back to " + storeRevision);
            return;
        }
        stream.acknowledge();
    }

    private void deliverAfter(long revision, JsonNode event) {
        KeyValueStore.Entry entry = GatewayCodec.entry(event.path("kv"));
        if (entry.modRevision() <= revision) {
            return;
        }
        deliveredRevision = Math.max(deliveredRevision, entry.modRevision());
        boolean deleted = event.path("type").asText().equals("DELETE");
        deliver(deleted ? new WatchEvent.Deleted(entry.key(), entry.modRevision()) : new WatchEvent.Put(entry));
    }

    private void deliver(WatchEvent event) {
        delivery.execute(() -> listener.accept(event));
    }

    private static void closeStream(@Nullable Stream stream) {
        if (stream != null) {
            stream.close();
        }
    }

    /** A connection of the watch. */
    private final class Stream implements GatewayConnections.Listener, GatewayExchange.Listener {
        private final HostPort address;
        private final PendingBytes line = new PendingBytes();
        private final HeldResponses.Holder held;
        private GatewayConnections.@Nullable Link link;
        private XnioExecutor.@Nullable Key acknowledgeTimer;
        private boolean closed;

        private Stream(HostPort address) {
            this.address = address;
            this.held = caller.connections().holder(() -> fail("the memory for responses is exhausted"));
        }

        @Override
        public void onConnected(GatewayConnections.Link opened) {
            if (closed) {
                opened.close();
                return;
            }
            link = opened;
            if (!caller.takeFromBudget(PATH)) {
                fail("budget");
                return;
            }
            opened.send(Methods.POST_STRING, PATH, GatewayCodec.watchRequest(prefix, deliveredRevision + 1), this);
        }

        @Override
        public void onConnectFailed(String reason) {
            fail(reason);
        }

        @Override
        public void onHead(int status, HeaderMap headers) {
            if (status != HTTP_OK) {
                fail("status " + status);
            }
        }

        @Override
        public void onBytes(ByteBuffer bytes) {
            byte[] received = new byte[bytes.remaining()];
            bytes.get(received);
            int lineBegin = 0;
            for (int i = 0; i < received.length && !closed; i++) {
                if (received[i] == '\n') {
                    line.add(received, lineBegin, i - lineBegin);
                    lineBegin = i + 1;
                    byte[] message = line.toByteArray();
                    line.clear();
                    receiveLine(message);
                }
            }
            if (closed) {
                return;
            }
            line.add(received, lineBegin, received.length - lineBegin);
            if (line.size() > runtime.options().maxResponseBytes()) {
                fail("a message is larger than " + runtime.options().maxResponseBytes() + " bytes");
            } else if (!held.hold(line.allocatedBytes())) {
                fail("the memory for responses is exhausted");
            }
        }

        @Override
        public void onComplete(boolean reusable) {
            fail("the store ended the watch");
        }

        @Override
        public void onFailed(String reason) {
            fail(reason);
        }

        private void receiveLine(byte[] message) {
            if (message.length == 0) {
                return;
            }
            try {
                JsonNode body = GatewayCodec.parse(message);
                if (body.has("error")) {
                    fail(body.path("error").toString());
                    return;
                }
                receive(this, body.path("result"));
            } catch (IOException e) {
                fail("unreadable message: " + e.getMessage());
            }
        }

        private void acknowledge() {
            if (acknowledgeTimer != null) {
                acknowledgeTimer.remove();
                acknowledgeTimer = null;
                onAcknowledged(this);
            }
        }

        /** Closes this connection; the watch continues only if another one is being opened. */
        private void fail(String reason) {
            if (closed) {
                return;
            }
            close();
            if (this == current && next != null) {
                return;
            }
            if (this == next) {
                caller.addressFailed(address, reason);
            }
            breakWatch(reason);
        }

        private void close() {
            closed = true;
            held.close();
            if (acknowledgeTimer != null) {
                acknowledgeTimer.remove();
            }
            if (link != null) {
                link.close();
            }
        }
    }
}
