package org.marjoramswitch.daemon.caller;

import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Decides after which answer a caller's connection is closed, so that the caller chooses an instance anew.
 *
 * <p>A caller chooses among the instances for each new connection only. One that sends much keeps its few connections
 * busy and with them one instance, which carries several times its part and takes all of it along when it dies. So a
 * connection serves a bounded number of requests.
 *
 * <p>A flood opens a connection for each of its requests, and callers keep those that were answered, to use them again.
 * At the instance's limit no further connection is accepted, and with thousands of idle ones held, new callers waited
 * unread until they gave up: of the requests that came in the last four seconds of a flood, half had no answer at all.
 * So from a share of the limit on, each answer closes its connection, and what is left of the limit is for requests that
 * wait for their answers.
 */
final class ConnectionUse {
    /** A new connection costs a caller one round trip; spread over so many requests it is a small part of their time. */
    private static final int REQUESTS_PER_CONNECTION = 16;
    /** Of the most connections, those up to which idle ones are kept; the other half is for requests under way. */
    private static final double KEPT_SHARE = 0.5;

    private static final AttachmentKey<Integer> REQUESTS = AttachmentKey.create(Integer.class);

    private final AtomicInteger open = new AtomicInteger();
    private final double mostKept;

    private ConnectionUse(double mostKept) {
        this.mostKept = mostKept;
    }

    /** @param maxConnections the most connections that are accepted */
    static ConnectionUse within(int maxConnections) {
        return new ConnectionUse(KEPT_SHARE * maxConnections);
    }

    /** Counts a request on a connection; true where its answer is to be the connection's last. */
    boolean isLast(ServerConnection connection) {
        Integer before = connection.getAttachment(REQUESTS);
        if (before == null) {
            open.incrementAndGet();
            connection.addCloseListener(closed -> open.decrementAndGet());
        }
        int requests = before == null ? 1 : before + 1;
        connection.putAttachment(REQUESTS, requests);
        return requests >= REQUESTS_PER_CONNECTION || open.get() > mostKept;
    }
}
