package org.marjoramswitch.daemon.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.util.HeaderMap;
import io.undertow.util.Methods;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.daemon.platform.KeyValueStore.WatchEvent;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.kernel.error.ErrorType;
import org.xnio.XnioExecutor;

/**
 * A watch that a silent connection cannot fool.
 *
 * <p>A waiting watch is quiet when nothing changes, and just as quiet when something between the two ends has forgotten
 * its connection. Nothing on that connection tells the two apart. So each connection is trusted for a bounded time only:
 * at the end of it a second one is opened from the revision after the last one delivered, and once the service has
 * acknowledged it, the first is closed. What the first missed is in the service's history and comes on the second. A
 * change is thus hidden for at most the watch's age plus the time of an acknowledgement; the default age of 3 s costs
 * one call each 3 s and watch.
 *
 * <p>While both are open a change may come on both; a change is delivered only if its revision is above the last one
 * delivered. All changes of one revision come in one message, so none of them is lost by this.
 *
 * <p>Where the second connection cannot be opened, or its start lies in history that was compacted, the watch is broken:
 * the listener hears {@link WatchEvent.Broken} once, as the last event, and reads the prefix anew.
 *
 * <p>Runs on the IO thread; events are delivered in order by the given executor.
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
    private boolean over;

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

    /** Opens a connection that is to take over from the current one, if any. */
    void open() {
        if (over) {
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

    /** Another call has just failed; its address is waited for once, so that one lost call breaks no watch. */
    private void openLater(long waitMs) {
        if (deferred) {
            breakOff("no address answers");
            return;
        }
        deferred = true;
        renewal = runtime.after(waitMs, this::open);
    }

    @Override
    public void close() {
        over = true;
        if (renewal != null) {
            renewal.remove();
        }
        closeStream(current);
        closeStream(next);
    }

    private void acknowledged(Stream stream) {
        if (current != null) {
            runtime.metrics().watchRenewed();
        }
        closeStream(current);
        current = stream;
        next = null;
        caller.addresses().succeeded(stream.address);
        renewal = runtime.after(runtime.options().watchMaxAgeMs(), this::open);
    }

    private void breakOff(String reason) {
        if (over) {
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
            breakOff("cancelled by the service");
            return;
        }
        if (result.path("created").asBoolean()) {
            created(stream, GatewayCodec.revision(result));
            return;
        }
        JsonNode events = result.path("events");
        if (events.isEmpty()) {
            // A progress notification: everything up to its revision has been delivered on this connection.
            deliveredRevision = Math.max(deliveredRevision, GatewayCodec.revision(result));
            return;
        }
        long before = deliveredRevision;
        for (JsonNode event : events) {
            deliverAfter(before, event);
        }
    }

    private void created(Stream stream, long serviceRevision) {
        if (serviceRevision < deliveredRevision) {
            // The service was restored from a backup. A watch from a revision that it has not reached again would
            // stay quiet over every change until then.
            breakOff("the service's revision went back to " + serviceRevision);
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

    /** One connection of the watch. */
    private final class Stream implements GatewayConnections.Listener, GatewayExchange.Listener {
        private final HostPort address;
        private final ByteArrayOutputStream line = new ByteArrayOutputStream();
        private GatewayConnections.@Nullable Link link;
        private XnioExecutor.@Nullable Key acknowledgeTimer;
        private boolean closed;

        private Stream(HostPort address) {
            this.address = address;
        }

        @Override
        public void connected(GatewayConnections.Link connected) {
            if (closed) {
                connected.close();
                return;
            }
            link = connected;
            if (!caller.spend(PATH)) {
                fail("budget");
                return;
            }
            connected.send(Methods.POST_STRING, PATH, GatewayCodec.watchRequest(prefix, deliveredRevision + 1), this);
        }

        @Override
        public void refused(String reason) {
            fail(reason);
        }

        @Override
        public void head(int status, HeaderMap headers) {
            if (status != HTTP_OK) {
                fail("status " + status);
            }
        }

        @Override
        public void bytes(ByteBuffer bytes) {
            while (bytes.hasRemaining() && !closed) {
                byte next = bytes.get();
                if (next != '\n') {
                    line.write(next);
                    continue;
                }
                byte[] whole = line.toByteArray();
                line.reset();
                receiveLine(whole);
            }
            if (line.size() > runtime.options().maxResponseBytes()) {
                fail("a message is larger than " + runtime.options().maxResponseBytes() + " bytes");
            }
        }

        @Override
        public void ended(boolean reusable) {
            fail("the service ended the watch");
        }

        @Override
        public void cut(String reason) {
            fail(reason);
        }

        private void receiveLine(byte[] whole) {
            if (whole.length == 0) {
                return;
            }
            try {
                JsonNode message = GatewayCodec.parse(whole);
                if (message.has("error")) {
                    fail(message.path("error").toString());
                    return;
                }
                receive(this, message.path("result"));
            } catch (IOException e) {
                fail("unreadable message: " + e.getMessage());
            }
        }

        private void acknowledge() {
            if (acknowledgeTimer != null) {
                acknowledgeTimer.remove();
                acknowledgeTimer = null;
                acknowledged(this);
            }
        }

        /** Ends this connection; the watch goes on only where another one is on its way. */
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
            breakOff(reason);
        }

        private void close() {
            closed = true;
            if (acknowledgeTimer != null) {
                acknowledgeTimer.remove();
            }
            if (link != null) {
                link.close();
            }
        }
    }
}
