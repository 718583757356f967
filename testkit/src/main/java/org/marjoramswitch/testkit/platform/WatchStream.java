package org.marjoramswitch.testkit.platform;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.xnio.IoUtils;

/** An open watch: an unbounded response body with one JSON object per line, written by a dedicated thread. */
final class WatchStream {
    private static final Logger LOG = Logger.getLogger(WatchStream.class);
    private static final long DISCONNECT_POLL_MS = 20;
    private final HttpServerExchange exchange;
    private final KeyValueTable table;
    private final GatewayOperations operations;
    private final String key;
    private final String rangeEnd;
    private final BlockingQueue<String> lines = new LinkedBlockingQueue<>();
    private final Consumer<List<Change>> listener = this::enqueue;
    private volatile boolean stalled;

    private WatchStream(
            HttpServerExchange exchange, KeyValueTable table, GatewayOperations operations, JsonNode create) {
        this.exchange = exchange;
        this.table = table;
        this.operations = operations;
        this.key = GatewayOperations.decode(create.path("key"));
        this.rangeEnd = GatewayOperations.decode(create.path("range_end"));
    }

    /**
     * Registers the watch and queues the changes since its start revision. The caller must hold the table's monitor.
     */
    static WatchStream open(
            HttpServerExchange exchange, KeyValueTable table, GatewayOperations operations, JsonNode create) {
        WatchStream stream = new WatchStream(exchange, table, operations, create);
        long startRevision = create.path("start_revision").asLong();
        stream.lines.add(stream.line(object().put("created", true)));
        if (startRevision > 0 && startRevision <= table.compactedRevision()) {
            stream.lines.add(stream.line(
                    object().put("canceled", true).put("compact_revision", Long.toString(table.compactedRevision()))));
            return stream;
        }
        if (startRevision > 0) {
            stream.enqueue(table.changesFrom(startRevision));
        }
        table.addListener(stream.listener);
        return stream;
    }

    /** Keeps the watch open but sends no further events, as when a network path drops packets silently. */
    void stall() {
        stalled = true;
    }

    void cut() {
        IoUtils.safeClose(exchange.getConnection());
    }

    /** Writes lines until either end closes the connection. */
    void run() {
        try {
            exchange.startBlocking();
            OutputStream out = exchange.getOutputStream();
            while (!isCallerDisconnected()) {
                String line = lines.poll(DISCONNECT_POLL_MS, TimeUnit.MILLISECONDS);
                if (line != null) {
                    out.write(line.getBytes(UTF_8));
                    out.flush();
                }
            }
        } catch (IOException e) {
            LOG.debugf("event=gateway_watch_ended reason=\"%s\"", e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            table.removeListener(listener);
            IoUtils.safeClose(exchange.getConnection());
        }
    }

    /** Polls for the end of the caller's stream, since Undertow does not read while a response is being written. */
    private boolean isCallerDisconnected() throws IOException {
        AbstractServerConnection connection = (AbstractServerConnection) exchange.getConnection();
        return !connection.isOpen() || connection.getOriginalSourceConduit().read(ByteBuffer.allocate(1)) < 0;
    }

    private void enqueue(List<Change> changes) {
        ArrayNode events = JsonNodeFactory.instance.arrayNode();
        for (Change change : changes) {
            if (KeyValueTable.inRange(change.entry().key(), key, rangeEnd)) {
                events.add(event(change));
            }
        }
        if (events.isEmpty() || stalled) {
            return;
        }
        ObjectNode result = object();
        result.set("events", events);
        lines.add(line(result));
    }

    private static ObjectNode event(Change change) {
        ObjectNode event = object();
        if (change.deleted()) {
            event.put("type", "DELETE");
        }
        event.set("kv", GatewayOperations.entryBody(change.entry()));
        return event;
    }

    private String line(ObjectNode result) {
        ObjectNode body = object();
        body.set("result", operations.withHeader(result));
        return body + "\n";
    }

    private static ObjectNode object() {
        return JsonNodeFactory.instance.objectNode();
    }
}
