package org.marjoramswitch.testsuite.path;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.testkit.engine.EngineOptions;
import org.marjoramswitch.testkit.engine.ModelEngine;
import org.marjoramswitch.testsuite.path.TestCaller.Response;

/** The path of a request through every instance, from address discovery to the response. */
class PathTest {
    private static final String CUSTOMER = "quai-nord";
    private static TestFleet fleet;

    @BeforeAll
    static void start() {
        fleet = TestFleet.of(2, EngineOptions.defaults().stepMs(1), CUSTOMER).startInstances(3);
    }

    @AfterAll
    static void close() {
        fleet.close();
    }

    @Test
    void streamedResponseIsCompleteAtEveryInstance() throws Exception {
        for (String name : fleet.names()) {
            byte[] body = TestCaller.chatBody("who boards at " + name, 40, true);
            Response response = fleet.caller(name, CUSTOMER).chat(body).join();
            assertEquals(200, response.status(), response.body());
            assertTrue(response.contentType().startsWith("text/event-stream"), response.contentType());
            assertEquals(ModelEngine.expectedText(body, fleet.engineOptions()), response.text());
            assertTrue(response.body().stripTrailing().endsWith("data: [DONE]"), response.body());
        }
    }

    @Test
    void unstreamedResponseIsComplete() throws Exception {
        byte[] body = TestCaller.chatBody("muster list", 25, false);
        Response response = fleet.caller("entry-2", CUSTOMER).chat(body).join();
        assertEquals(200, response.status(), response.body());
        assertEquals(ModelEngine.expectedText(body, fleet.engineOptions()), response.text());
    }

    /**
     * One instance is the arbiter of the pool's cell, so two of the three request their slots from another instance.
     */
    @Test
    void oneInstanceIsTheArbiterForAll() {
        fleet.names()
                .forEach(name -> assertEquals(
                        200,
                        fleet.caller(name, CUSTOMER)
                                .chat(TestCaller.chatBody("berth", 5, false))
                                .join()
                                .status()));
        TestFleet.await("an arbiter", () -> !fleet.arbiterOf(TestFleet.MODEL).isEmpty());
        long arbiters = fleet.names().stream()
                .filter(name -> fleet.daemon(name).status().arbitratedCells().stream()
                        .anyMatch(cell -> cell.pool().name().equals(TestFleet.MODEL)))
                .count();
        assertEquals(1, arbiters);
    }

    @Test
    void serviceCallRunsOnce() {
        Response response = fleet.caller("entry-3", CUSTOMER).service("stop-17").join();
        assertEquals(200, response.status(), response.body());
        assertEquals(1, fleet.service().executions().get("stop-17"));
    }

    @Test
    void addressResponseListsServingInstances() {
        JsonNode response = fleet.caller("entry-1", CUSTOMER).address();
        Set<String> known = new HashSet<>(fleet.names());
        assertTrue(response.path("instances").size() >= 1, response.toString());
        for (JsonNode instance : response.path("instances")) {
            assertTrue(known.contains(instance.path("instance").asText()), response.toString());
            HostPort address = HostPort.parse(instance.path("address").asText());
            Response chat = TestCaller.of(address, TestFleet.apiKey(CUSTOMER))
                    .chat(TestCaller.chatBody("q", 3, false))
                    .join();
            assertEquals(200, chat.status(), chat.body());
        }
    }

    @Test
    void unknownKeyIsRejected() {
        Response response = TestCaller.of(fleet.daemon("entry-1").callersAddress(), "key-of-nobody")
                .chat(TestCaller.chatBody("q", 3, false))
                .join();
        assertEquals(401, response.status());
        assertEquals("not-run", response.run());
    }
}
