package org.marjoramswitch.daemon.target;

import io.undertow.client.ClientConnection;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Thread-safe pool of idle keep-alive connections per target; also counts open connections.
 *
 * <p>The most recently used connection is taken first, so that under falling load the others reach the maximum idle age
 * and are closed. The maximum idle age limits the use of dead connections: a firewall may drop an idle connection from
 * its table, or the host may be replaced, after which a request sent on the connection gets no response until its
 * deadline. Connections that die while in use are covered by the progress deadline.
 */
final class ConnectionPool {
    private final TargetClientOptions options;
    private final TargetMetrics metrics;
    private final Map<TargetAddress, Slots> slotsByAddress = new HashMap<>();

    ConnectionPool(TargetClientOptions options, TargetMetrics metrics) {
        this.options = options;
        this.metrics = metrics;
    }

    /** Takes the most recently used connection; null if none is open or it has been idle for {@code idleAgeMs}. */
    synchronized @Nullable ClientConnection take(TargetAddress address, long idleAgeMs, long nowMs) {
        Deque<Idle> idle = slots(address).idle;
        while (!idle.isEmpty() && !isUsable(idle.getLast(), nowMs)) {
            expire(idle.removeLast());
        }
        if (idle.isEmpty() || nowMs - idle.getLast().sinceMs >= idleAgeMs) {
            return null;
        }
        metrics.connectionsReused.inc();
        return idle.removeLast().connection;
    }

    /** Closes the idle connections to a target after another one went silent: these have probably failed too. */
    synchronized void closeIdle(TargetAddress address) {
        Deque<Idle> idle = slots(address).idle;
        idle.forEach(this::expire);
        idle.clear();
    }

    /** Returns a connection whose exchange is complete; closes the oldest idle one beyond the maximum. */
    synchronized void returnConnection(TargetAddress address, ClientConnection connection, long nowMs) {
        Slots slots = slots(address);
        slots.idle.addLast(new Idle(connection, nowMs));
        if (slots.idle.size() > options.maxIdlePerTarget()) {
            expire(slots.idle.removeFirst());
        }
    }

    /** Counts a connection about to be opened; returns false if the target has the maximum open. */
    synchronized boolean reserve(TargetAddress address) {
        Slots slots = slots(address);
        if (slots.open >= options.maxOpenPerTarget()) {
            return false;
        }
        slots.open++;
        return true;
    }

    /** Reverses {@link #reserve} for a connection that was closed or failed to open. */
    synchronized void release(TargetAddress address) {
        slots(address).open--;
    }

    /** Closes connections at the maximum idle age and removes targets without connections. */
    synchronized void sweep(long nowMs) {
        Iterator<Slots> all = slotsByAddress.values().iterator();
        while (all.hasNext()) {
            Slots slots = all.next();
            while (!slots.idle.isEmpty() && !isUsable(slots.idle.getFirst(), nowMs)) {
                expire(slots.idle.removeFirst());
            }
            if (slots.open == 0 && slots.idle.isEmpty()) {
                all.remove();
            }
        }
    }

    synchronized void closeIdle() {
        List<Idle> closing = new ArrayList<>();
        slotsByAddress.values().forEach(slots -> {
            closing.addAll(slots.idle);
            slots.idle.clear();
        });
        closing.forEach(this::expire);
    }

    synchronized int openConnections() {
        return slotsByAddress.values().stream().mapToInt(slots -> slots.open).sum();
    }

    synchronized int idleConnections() {
        return slotsByAddress.values().stream()
                .mapToInt(slots -> slots.idle.size())
                .sum();
    }

    private boolean isUsable(Idle idle, long nowMs) {
        return idle.connection.isOpen() && nowMs - idle.sinceMs < options.idleAgeMs();
    }

    private void expire(Idle idle) {
        metrics.connectionsExpired.inc();
        ClientConnection connection = idle.connection;
        connection.getIoThread().execute(() -> TargetConnector.abort(connection));
    }

    private Slots slots(TargetAddress address) {
        return slotsByAddress.computeIfAbsent(address, key -> new Slots());
    }

    private static final class Slots {
        private final Deque<Idle> idle = new ArrayDeque<>();
        private int open;
    }

    private record Idle(ClientConnection connection, long sinceMs) {}
}
