package org.marjoramswitch.daemon.peer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Map;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.wire.MessageType;

/** Metrics of the peer links: {@code peer.*}, some of them per message type or disconnect reason. */
final class PeerMetrics {
    final Meter bytesIn;
    final Meter bytesOut;
    final Counter framesIn;
    final Counter framesOut;
    final Counter skipped;
    final Counter unauthenticated;
    final Counter unknownPeer;
    final Counter links;

    private final Map<MessageType, Counter> messagesIn = new EnumMap<>(MessageType.class);
    private final Map<MessageType, Counter> messagesOut = new EnumMap<>(MessageType.class);
    private final Map<MessageType, Counter> dropped = new EnumMap<>(MessageType.class);
    private final Map<DisconnectReason, Counter> cuts = new EnumMap<>(DisconnectReason.class);

    private PeerMetrics(MetricRegistry registry) {
        bytesIn = registry.meter("peer.bytes_in");
        bytesOut = registry.meter("peer.bytes_out");
        framesIn = registry.counter("peer.frames_in");
        framesOut = registry.counter("peer.frames_out");
        skipped = registry.counter("peer.messages_skipped");
        unauthenticated = registry.counter("peer.unauthenticated");
        unknownPeer = registry.counter("peer.unknown_peer");
        links = registry.counter("peer.links");
        for (MessageType type : MessageType.values()) {
            messagesIn.put(type, registry.counter("peer.messages_in." + type.metricName()));
            messagesOut.put(type, registry.counter("peer.messages_out." + type.metricName()));
            dropped.put(type, registry.counter("peer.messages_dropped." + type.metricName()));
        }
        for (DisconnectReason reason : DisconnectReason.values()) {
            cuts.put(reason, registry.counter("peer.cuts." + reason.logName()));
        }
    }

    static PeerMetrics create(MetricRegistry registry) {
        return new PeerMetrics(registry);
    }

    void messageIn(PeerMessage message) {
        increment(messagesIn, MessageType.of(message));
    }

    void messageOut(PeerMessage message) {
        increment(messagesOut, MessageType.of(message));
    }

    void dropped(PeerMessage message) {
        increment(dropped, MessageType.of(message));
    }

    void disconnected(DisconnectReason reason) {
        increment(cuts, reason);
    }

    private static <K> void increment(Map<K, Counter> counters, K key) {
        Counter counter = counters.get(key);
        if (counter != null) {
            counter.inc();
        }
    }
}
