package org.marjoramswitch.tool.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.daemon.platform.KeyValueOptions;
import org.marjoramswitch.daemon.platform.KeyValueResult;
import org.marjoramswitch.daemon.platform.KeyValueStore;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.testkit.platform.KeyValueGateway;

class SettingsWriterTest {
    private static final DocumentName NAME = new DocumentName("quais", "customers");
    private static final SettingsWriter.Pause NO_PAUSE = attempt -> {};

    private KeyValueGateway gateway;
    private PlatformConnection connection;

    @BeforeEach
    void start() throws Exception {
        gateway = KeyValueGateway.start();
        KeyValueOptions options =
                KeyValueOptions.of(1).withTimeouts(600, 300, 300).withBudget(1_000, 1_000);
        connection = PlatformConnection.open(List.of(HostPort.of(gateway.host(), gateway.port())), options);
    }

    @AfterEach
    void stop() {
        connection.close();
        gateway.close();
    }

    private static SettingsWriter.Put change(String base, String changeId, double weight) {
        ObjectNode document = JsonNodeFactory.instance.objectNode();
        document.putObject("defaults").put("weight", weight);
        return new SettingsWriter.Put(NAME, document, base, changeId, "operator", 1_000);
    }

    private PutResult put(KeyValueStore store, SettingsWriter.Put put) throws InterruptedException {
        return SettingsWriter.of(store, NO_PAUSE).put(put);
    }

    private PutResult put(SettingsWriter.Put put) throws InterruptedException {
        return put(connection.store(), put);
    }

    private String storedChangeId() throws Exception {
        return SettingsView.of(connection.store()).document(NAME).changeId();
    }

    private List<String> changeIds() throws Exception {
        return SettingsView.of(connection.store()).history(NAME).changes().stream()
                .map(History.Change::changeId)
                .toList();
    }

    @Test
    void writesANewDocumentAndItsNextVersion() throws Exception {
        assertEquals(new PutResult.Written("c1", false), put(change("", "c1", 1)));
        assertEquals(new PutResult.Written("c2", false), put(change("c1", "c2", 2)));
        assertEquals("c2", storedChangeId());
        assertEquals(List.of("c2", "c1"), changeIds());
    }

    @Test
    void rejectsCreatingAnExistingDocument() throws Exception {
        put(change("", "c1", 1));
        assertInstanceOf(PutResult.Conflict.class, put(change("", "c2", 2)));
        assertEquals("c1", storedChangeId());
    }

    // Two operators change the same version concurrently. Each has read the document and finds its base unchanged
    // before either has written. One compare-and-swap succeeds; the other operator must get a conflict and must not
    // overwrite a change that they never saw.
    @Test
    void acceptsExactlyOneOfTwoConcurrentWrites() throws Exception {
        String base = "";
        ExecutorService operators = Executors.newFixedThreadPool(2);
        for (int round = 0; round < 10; round++) {
            String first = "a" + round;
            String second = "b" + round;
            String current = base;
            List<Future<PutResult>> results = operators.invokeAll(List.<Callable<PutResult>>of(
                    () -> put(change(current, first, 1)), () -> put(change(current, second, 2))));
            long written = 0;
            for (Future<PutResult> result : results) {
                written += result.get() instanceof PutResult.Written ? 1 : 0;
            }
            assertEquals(1, written);
            base = storedChangeId();
        }
        operators.shutdown();
        assertEquals(10, changeIds().size());
    }

    // The store executes the write but the connection is closed before the response. A plain retry would mistake its
    // own change for another operator's and report a conflict.
    @Test
    void resolvesALostResponseByReadingBack() throws Exception {
        gateway.dropResponses(1);
        assertEquals(new PutResult.Written("c1", true), put(change("", "c1", 1)));
        assertEquals(List.of("c1"), changeIds());
    }

    // The write takes effect, its response is lost, and before the tool reads back, another operator changes the new
    // version. The document no longer contains the first change id; its history does.
    @Test
    void findsAnOverwrittenWriteInTheHistory() throws Exception {
        FaultyStore store = new FaultyStore(connection.store(), call -> {
            call.run();
            try {
                put(change("c1", "c2", 2));
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
            return new KeyValueResult.OutcomeUnknown<>("cut");
        });
        assertEquals(new PutResult.Written("c1", true), put(store, change("", "c1", 1)));
        assertEquals("c2", storedChangeId());
    }

    // The write is delayed in transit and times out; reading back shows the old version. The tool sends the same
    // compare-and-swap again, and then the delayed one arrives as well. Only one of the two may take effect.
    @Test
    void writesOnceIfADelayedWriteArrivesAfterItsRetry() throws Exception {
        Runnable[] delayed = new Runnable[1];
        FaultyStore store = new FaultyStore(connection.store(), call -> {
            delayed[0] = call;
            return new KeyValueResult.OutcomeUnknown<>("timeout");
        });
        assertEquals(new PutResult.Written("c1", false), put(store, change("", "c1", 1)));
        delayed[0].run();
        assertEquals(List.of("c1"), changeIds());
    }

    // The write is delayed and another operator's change takes effect first. The delayed write expects an old revision
    // and can no longer take effect, so this is a certain conflict, not an unknown outcome.
    @Test
    void reportsAConflictIfAnotherWriteOvertakesADelayedOne() throws Exception {
        put(change("", "c0", 1));
        FaultyStore store = new FaultyStore(connection.store(), call -> {
            try {
                put(change("c0", "other", 3));
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
            return new KeyValueResult.OutcomeUnknown<>("timeout");
        });
        assertInstanceOf(PutResult.Conflict.class, put(store, change("c0", "mine", 2)));
        assertEquals("other", storedChangeId());
    }

    // The response is lost and the store becomes unavailable before the tool can read back. Reporting
    // either "written" or "not written" would be unfounded.
    @Test
    void reportsUnknownIfTheStoreStaysUnavailable() throws Exception {
        FaultyStore store = new FaultyStore(connection.store(), call -> {
            call.run();
            gateway.respondUnavailable();
            return new KeyValueResult.OutcomeUnknown<>("cut");
        });
        PutResult.OutcomeUnknown unknown =
                assertInstanceOf(PutResult.OutcomeUnknown.class, put(store, change("", "c1", 1)));
        assertEquals("c1", unknown.changeId());
        assertTrue(gateway.value(NAME.historyKey()).orElseThrow().contains("c1"));
    }

    @Test
    void reportsUnavailableIfNothingWasSent() throws Exception {
        gateway.respondUnavailable();
        assertInstanceOf(PutResult.Unavailable.class, put(change("", "c1", 1)));
    }

    @Test
    void keepsTheHistoryBounded() throws Exception {
        String base = "";
        for (int i : IntStream.range(0, History.MAX_RECORDS + 5).toArray()) {
            put(change(base, "c" + i, 1));
            base = "c" + i;
        }
        assertEquals(History.MAX_RECORDS, changeIds().size());
        assertTrue(changeIds().contains(base));
    }
}
