package org.marjoramswitch.testkit.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntPredicate;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.wire.FrameCodec;
import org.marjoramswitch.kernel.wire.LinkEncoder;

/**
 * Simulated links between instances, with a constant network delay, the real encoder and the behaviour of the daemon's
 * links. Messages to one peer within {@code LINGER_US} share a frame, and prompt messages are sent immediately. The
 * first message opens a link; all messages sent before it is up are dropped. An active link without a frame for
 * {@code HEARTBEAT_US} sends a heartbeat, and a silent link is considered lost after {@code SILENT_US}.
 */
final class VirtualPeerLinks {
    private static final long LINGER_US = 2_000;
    private static final long HEARTBEAT_US = VirtualClock.US_PER_S;
    private static final long ACTIVE_US = 5 * VirtualClock.US_PER_S;
    static final long SILENT_US = 3 * VirtualClock.US_PER_S;
    private static final int HANDSHAKE_TRIPS = 3;

    private final BenchShape shape;
    private final VirtualClock clock;
    private final ControlBytes bytes;
    private final Listener listener;
    private final IntPredicate down;
    private final Map<Integer, Link> links = new TreeMap<>();
    private int firstOfOthers;

    private VirtualPeerLinks(BenchShape shape, VirtualClock clock, IntPredicate down, Listener listener) {
        this.shape = shape;
        this.clock = clock;
        this.down = down;
        this.listener = listener;
        bytes = ControlBytes.create(shape.instances());
    }

    static VirtualPeerLinks create(BenchShape shape, VirtualClock clock, IntPredicate down, Listener listener) {
        VirtualPeerLinks links = new VirtualPeerLinks(shape, clock, down, listener);
        clock.every(HEARTBEAT_US, HEARTBEAT_US, links::sendHeartbeats);
        return links;
    }

    ControlBytes bytes() {
        return bytes;
    }

    void send(int from, int to, PeerMessage message) {
        Link link = links.computeIfAbsent(key(from, to), missing -> new Link(from, to));
        if (!link.up) {
            connect(link);
            return;
        }
        link.queue(message);
    }

    /** Closes all links of the instance. Its peers detect the loss after {@code SILENT_US}. */
    void killed(int instance) {
        for (Link link : List.copyOf(links.values())) {
            if (link.from == instance || link.to == instance) {
                link.close();
                if (link.to == instance) {
                    clock.after(SILENT_US, () -> reportLost(link));
                }
            }
        }
    }

    /** Partitions the instances below {@code first} from the others. */
    void partitioned(int first) {
        firstOfOthers = first;
        for (Link link : List.copyOf(links.values())) {
            if (!reachable(link.from, link.to)) {
                link.close();
                clock.after(SILENT_US, () -> reportLost(link));
            }
        }
    }

    void healed() {
        firstOfOthers = 0;
    }

    private void reportLost(Link link) {
        if (!link.up && !down.test(link.from)) {
            listener.linkChanged(link.from, link.to, false);
        }
    }

    private boolean reachable(int one, int other) {
        return (one < firstOfOthers) == (other < firstOfOthers) && !down.test(one) && !down.test(other);
    }

    private void connect(Link link) {
        if (link.connecting || !reachable(link.from, link.to)) {
            return;
        }
        Link back = links.computeIfAbsent(key(link.to, link.from), missing -> new Link(link.to, link.from));
        link.connecting = true;
        back.connecting = true;
        clock.after(HANDSHAKE_TRIPS * oneWayUs(link), () -> {
            link.connecting = false;
            back.connecting = false;
            if (reachable(link.from, link.to)) {
                link.open();
                back.open();
                listener.linkChanged(link.from, link.to, true);
                listener.linkChanged(link.to, link.from, true);
            }
        });
    }

    private void sendHeartbeats() {
        for (Link link : links.values()) {
            boolean active = link.up && clock.nowUs() - link.lastMessageUs < ACTIVE_US;
            if (active && clock.nowUs() - link.lastFrameUs >= HEARTBEAT_US) {
                link.send(List.of(new PeerMessage.Heartbeat()));
            }
        }
    }

    private long oneWayUs(Link link) {
        return shape.oneWayUs(shape.dataCentreOf(link.from), shape.dataCentreOf(link.to));
    }

    private int key(int from, int to) {
        return from * shape.instances() + to;
    }

    /** One direction of the link between two instances. */
    private final class Link {
        private final int from;
        private final int to;
        private LinkEncoder encoder = LinkEncoder.create();
        private List<PeerMessage> queued = new ArrayList<>();
        private boolean up;
        private boolean connecting;
        private int connection;
        private long flushDueUs;
        private long lastFrameUs;
        private long lastMessageUs;

        private Link(int from, int to) {
            this.from = from;
            this.to = to;
        }

        private void open() {
            up = true;
            encoder = LinkEncoder.create();
            queued = new ArrayList<>();
            connection++;
        }

        private void close() {
            up = false;
            queued = new ArrayList<>();
            connection++;
        }

        private void queue(PeerMessage message) {
            queued.add(message);
            lastMessageUs = clock.nowUs();
            long dueUs = clock.nowUs() + (message.prompt() ? 0 : LINGER_US);
            if (queued.size() > 1 && dueUs >= flushDueUs) {
                return;
            }
            flushDueUs = dueUs;
            int atConnection = connection;
            clock.after(dueUs - clock.nowUs(), () -> flush(atConnection));
        }

        private void flush(int atConnection) {
            if (atConnection != connection || queued.isEmpty() || clock.nowUs() < flushDueUs) {
                return;
            }
            send(queued);
            queued = new ArrayList<>();
        }

        private void send(List<PeerMessage> messages) {
            int payloadBytes = 0;
            for (PeerMessage message : messages) {
                int messageBytes = encoder.encode(message).length;
                bytes.addMessage(message, messageBytes);
                payloadBytes += messageBytes;
            }
            lastFrameUs = clock.nowUs();
            bytes.addFrame(from, to, payloadBytes + FrameCodec.overheadBytes(payloadBytes));
            int atConnection = connection;
            clock.after(oneWayUs(this), () -> {
                if (atConnection == connection) {
                    messages.forEach(message -> listener.received(to, from, message));
                }
            });
        }
    }

    /** Receives the messages and link changes of all instances. */
    interface Listener {
        void received(int instance, int from, PeerMessage message);

        void linkChanged(int instance, int peer, boolean up);
    }
}
