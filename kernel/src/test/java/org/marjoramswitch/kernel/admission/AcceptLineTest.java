package org.marjoramswitch.kernel.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.PoolId;

class AcceptLineTest {
    private static final long MAX_WAIT_MS = 100;
    private static final long PATIENCE_MS = 1_000;

    private final Map<Integer, CustomerId> customers = new HashMap<>();
    /** Connections whose request has many tokens for its work. */
    private final Set<Integer> denseConnections = new HashSet<>();

    private final AcceptLine<Integer> line = AcceptLine.create(1_000, this::request);

    /** Guards against serving connections when their callers are about to give up, while newer ones wait. */
    @Test
    void newestIsServedFirstAndOldestRejectedFirst() {
        line.add(1, 0);
        line.add(2, 50);
        line.add(3, 60);
        assertTrue(line.hasFresh(MAX_WAIT_MS, 120));
        assertEquals(3, next(120));
        assertEquals(1, line.expired(MAX_WAIT_MS, 120));
        line.removeOldest();
        assertNull(line.expired(MAX_WAIT_MS, 120));
        assertEquals(70, line.oldestWaitMs(120));
    }

    /** Guards against serving what should have been rejected already. */
    @Test
    void expiredConnectionIsNotFresh() {
        line.add(1, 0);
        assertFalse(line.hasFresh(MAX_WAIT_MS, MAX_WAIT_MS));
        assertEquals(1, line.expired(MAX_WAIT_MS, MAX_WAIT_MS));
    }

    /** Guards against requests that are served in vain at twice the capacity, since each has waited as long as its caller. */
    @Test
    void everyServedConnectionIsFreshAtTwiceTheCapacity() {
        List<Long> servedWaitsMs = new ArrayList<>();
        List<Long> rejectedWaitsMs = new ArrayList<>();
        long[] acceptedMs = new long[5_000];
        for (int i = 0; i < acceptedMs.length; i++) {
            long nowMs = i;
            acceptedMs[i] = nowMs;
            line.add(i, nowMs);
            if (i % 2 == 0 && line.hasFresh(MAX_WAIT_MS, nowMs)) {
                servedWaitsMs.add(nowMs - acceptedMs[next(nowMs)]);
            }
            Integer expired = line.expired(MAX_WAIT_MS, nowMs);
            if (expired != null) {
                rejectedWaitsMs.add(nowMs - acceptedMs[expired]);
                line.removeOldest();
            }
        }
        assertEquals(acceptedMs.length / 2, servedWaitsMs.size());
        assertTrue(servedWaitsMs.stream().allMatch(waitMs -> waitMs < MAX_WAIT_MS));
        assertTrue(rejectedWaitsMs.size() > acceptedMs.length / 3);
        assertTrue(rejectedWaitsMs.stream().allMatch(waitMs -> waitMs < PATIENCE_MS));
    }

    /** Guards against shares in proportion to the connections that customers open. */
    @Test
    void newestConnectionOfTheChosenCustomerIsServed() {
        CustomerId many = CustomerId.of("many");
        CustomerId few = CustomerId.of("few");
        for (int i = 0; i < 20; i++) {
            customers.put(i, i % 10 == 5 ? few : many);
            line.add(i, i);
        }
        line.identify();
        assertEquals(15, line.removeNext(waiting -> few, MAX_WAIT_MS, 20));
        assertEquals(5, line.removeNext(waiting -> few, MAX_WAIT_MS, 20));
        assertEquals(19, line.removeNext(waiting -> waiting.iterator().next(), MAX_WAIT_MS, 20));
        assertEquals(17, line.size());
        assertEquals(0, line.expired(10, 20));
    }

    /** Guards against a customer that gets few tokens for the processor time that it gets, or of some kinds none at all. */
    @Test
    void kindWithMostTokensPerWorkIsPreferredAndNoneIsStarved() {
        CustomerId flooding = CustomerId.of("flooding");
        for (int i = 0; i < 80; i++) {
            customers.put(i, flooding);
            if (i % 2 == 0) {
                denseConnections.add(i);
            }
            line.add(i, i);
        }
        line.identify();
        List<Integer> served = new ArrayList<>();
        for (int i = 0; i < 16; i++) {
            served.add(line.removeNext(waiting -> flooding, MAX_WAIT_MS, 80));
        }
        assertTrue(served.stream().filter(denseConnections::contains).count() >= 12, served::toString);
        assertTrue(served.stream().anyMatch(connection -> !denseConnections.contains(connection)), served::toString);
    }

    /** Guards against serving a request with many tokens that should have been rejected already. */
    @Test
    void expiredConnectionIsNotPreferred() {
        CustomerId flooding = CustomerId.of("flooding");
        for (int i = 0; i < 8; i++) {
            customers.put(i, flooding);
            line.add(i, i < 4 ? 0 : 90);
        }
        denseConnections.addAll(List.of(0, 1, 2, 3));
        line.identify();
        for (int i = 0; i < 4; i++) {
            assertTrue(next(MAX_WAIT_MS) >= 4);
        }
    }

    /** Guards against a customer that is chosen for connections that should have been rejected already. */
    @Test
    void customersWithExpiredConnectionsAreNotChosen() {
        CustomerId old = CustomerId.of("old");
        CustomerId fresh = CustomerId.of("fresh");
        customers.put(1, old);
        customers.put(2, fresh);
        line.add(1, 0);
        line.add(2, 90);
        line.identify();
        assertEquals(
                2,
                line.removeNext(
                        waiting -> {
                            assertEquals(List.of(fresh), List.copyOf(waiting));
                            return fresh;
                        },
                        MAX_WAIT_MS,
                        MAX_WAIT_MS));
        assertFalse(line.hasFresh(MAX_WAIT_MS, MAX_WAIT_MS));
    }

    /** Guards against connections whose request has not arrived being served before others, or never. */
    @Test
    void connectionsOfUnknownCustomersAreServedLast() {
        CustomerId known = CustomerId.of("known");
        customers.put(1, known);
        line.add(1, 0);
        line.add(2, 10);
        line.identify();
        assertEquals(1, next(20));
        assertEquals(2, next(20));
        assertTrue(line.isEmpty());
    }

    /** Guards against keeping the removed connections of a flood, with what was read of them, until the next connection waits. */
    @Test
    void emptyLineRefersToNoConnection() {
        CustomerId known = CustomerId.of("known");
        for (int i = 0; i < 100; i++) {
            customers.put(i, i % 2 == 0 ? known : null);
            line.add(i, i);
        }
        line.identify();
        while (!line.isEmpty()) {
            line.removeOldest();
        }
        assertEquals(0, line.referenceCount());
        line.add(100, 100);
        assertEquals(100, next(100));
        assertEquals(0, line.referenceCount());
    }

    private @Nullable AdmissionRequest request(int connection) {
        CustomerId customer = customers.get(connection);
        boolean dense = denseConnections.contains(connection);
        return customer == null
                ? null
                : new AdmissionRequest(
                        customer, PoolId.of("pool"), dense ? "report" : "plain", dense ? 5_000 : 1, 500, 800, 6_000);
    }

    private Integer next(long nowMs) {
        return Objects.requireNonNull(line.removeNext(
                waiting -> waiting.isEmpty()
                        ? CustomerId.of("any")
                        : waiting.iterator().next(),
                MAX_WAIT_MS,
                nowMs));
    }
}
