package org.marjoramswitch.daemon.caller;

import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Decides after which response a caller's connection is closed, so that the caller chooses an instance again.
 *
 * <p>Callers choose an instance only when they open a connection. A busy caller with few connections would keep sending
 * to one instance, so each connection serves a bounded number of requests.
 *
 * <p>Callers keep connections open for reuse. If idle connections filled the instance's limit, new ones would not be
 * accepted and their requests would time out unread. Above a share of the limit each response therefore closes its
 * connection.
 */
final class ConnectionReusePolicy {
    /** Spreads the round trip of a new connection over enough requests to make it negligible. */
    private static final int REQUESTS_PER_CONNECTION = 16;
    /**
     * A rejected request counts as a quarter of another one: its cost is small beside that of an accepted connection, which
     * at 16 rejections per connection was a fifth of the processor time.
     */
    private static final int REJECTIONS_PER_REQUEST = 4;
    /** Share of the connection limit up to which idle connections are kept. */
    private static final double KEPT_SHARE = 0.5;

    /** Ends of kept connections after a rejection that are needed to judge whether callers use them again. */
    private static final int MIN_OBSERVED = 16;
    /** Above this number the observations are halved, so that the latest ones count most. */
    private static final int MAX_OBSERVED = 64;
    /**
     * While callers do not use them again, one in so many rejections still keeps its connection, to notice a change. A kept
     * connection that its caller closes costs more than one that is closed at once, so they are few.
     */
    private static final int PROBE_INTERVAL = 256;

    private static final AttachmentKey<Use> USE = AttachmentKey.create(Use.class);

    private final AtomicInteger open = new AtomicInteger();
    private final AtomicInteger reused = new AtomicInteger();
    private final AtomicInteger abandoned = new AtomicInteger();
    private final AtomicInteger rejections = new AtomicInteger();
    private final double maxKept;

    private ConnectionReusePolicy(double maxKept) {
        this.maxKept = maxKept;
    }

    /** @param maxConnections the limit on accepted connections */
    static ConnectionReusePolicy within(int maxConnections) {
        return new ConnectionReusePolicy(KEPT_SHARE * maxConnections);
    }

    /** Counts a request on a connection; true if the connection must be closed after the response. */
    boolean isLast(ServerConnection connection) {
        return isLast(use(connection), REJECTIONS_PER_REQUEST);
    }

    /** Counts a request that is rejected at once; true if the connection must be closed after the response. */
    boolean isLastRejected(ServerConnection connection) {
        Use use = use(connection);
        boolean last = isLast(use, 1) || !isWorthKeeping();
        use.keptAfterRejection = !last;
        return last;
    }

    /**
     * Whether callers use a connection again on which they were rejected. Where they close it instead, the close is an
     * event of its own, which costs more than an immediate close: the I/O thread looks at all its ready connections for
     * each.
     */
    private boolean isWorthKeeping() {
        int closed = abandoned.get();
        int used = reused.get();
        return closed + used < MIN_OBSERVED || used >= closed || rejections.incrementAndGet() % PROBE_INTERVAL == 0;
    }

    private Use use(ServerConnection connection) {
        Use known = connection.getAttachment(USE);
        if (known != null) {
            if (known.keptAfterRejection) {
                observe(reused);
                known.keptAfterRejection = false;
            }
            return known;
        }
        Use created = new Use();
        open.incrementAndGet();
        connection.putAttachment(USE, created);
        connection.addCloseListener(closed -> {
            open.decrementAndGet();
            if (created.keptAfterRejection) {
                observe(abandoned);
            }
        });
        return created;
    }

    /** Two threads may halve at once, which only forgets sooner. */
    private void observe(AtomicInteger count) {
        count.incrementAndGet();
        if (reused.get() + abandoned.get() > MAX_OBSERVED) {
            reused.updateAndGet(value -> value / 2);
            abandoned.updateAndGet(value -> value / 2);
        }
    }

    private boolean isLast(Use use, int quarters) {
        use.quarters += quarters;
        return use.quarters >= REQUESTS_PER_CONNECTION * REJECTIONS_PER_REQUEST || open.get() > maxKept;
    }

    /** The use of one connection; accessed on its I/O thread, or at its close. */
    private static final class Use {
        private int quarters;
        private volatile boolean keptAfterRejection;
    }
}
