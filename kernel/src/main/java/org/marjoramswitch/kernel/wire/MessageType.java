package org.marjoramswitch.kernel.wire;

import java.util.Arrays;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.message.PeerMessage;

/** The types of messages and their numbers on the wire. A number is never reused for another meaning. */
public enum MessageType {
    REGISTER(1, PeerMessage.Register.class),
    UNREGISTER(2, PeerMessage.Unregister.class),
    DEMAND(3, PeerMessage.Demand.class),
    GRANT(4, PeerMessage.Grant.class),
    DECLINE(5, PeerMessage.Decline.class),
    PROGRESS(6, PeerMessage.Progress.class),
    ENDED(7, PeerMessage.Ended.class),
    CHARGES(8, PeerMessage.Charges.class),
    LOAD(9, PeerMessage.Load.class),
    TARGET_LEAVING(10, PeerMessage.TargetLeaving.class),
    KEY_QUERY(11, PeerMessage.KeyQuery.class),
    KEY_REPLY(12, PeerMessage.KeyReply.class),
    WITNESS_QUERY(13, PeerMessage.WitnessQuery.class),
    WITNESS_REPLY(14, PeerMessage.WitnessReply.class),
    SETTINGS_HEAD(15, PeerMessage.SettingsHead.class),
    SETTINGS_QUERY(16, PeerMessage.SettingsQuery.class),
    SETTINGS_BODIES(17, PeerMessage.SettingsBodies.class),
    HEARTBEAT(18, PeerMessage.Heartbeat.class),
    PROBE(19, PeerMessage.Probe.class),
    PROBE_REPLY(20, PeerMessage.ProbeReply.class),
    PLACE(21, PeerMessage.Place.class),
    PLACED(22, PeerMessage.Placed.class),
    NOT_PLACED(23, PeerMessage.NotPlaced.class),
    PLACE_WITHDRAWN(24, PeerMessage.PlaceWithdrawn.class),
    PLACEMENT_ANSWERING(25, PeerMessage.PlacementAnswering.class),
    PLACEMENT_ENDED(26, PeerMessage.PlacementEnded.class),
    PLACEMENTS_HELD(27, PeerMessage.PlacementsHeld.class),
    WATCH_BEAT(28, PeerMessage.WatchBeat.class),
    WATCH_NEWS(29, PeerMessage.WatchNews.class),
    WATCH_QUERY(30, PeerMessage.WatchQuery.class),
    WATCH_COPY(31, PeerMessage.WatchCopy.class),
    CRASH_NEWS(32, PeerMessage.CrashNews.class),
    DATA_CENTRES_EVACUATED(33, PeerMessage.DataCentresEvacuated.class),
    STREAMS_BEGAN(34, PeerMessage.StreamsBegan.class),
    VERSION_HISTORY(35, PeerMessage.VersionHistory.class),
    REJECTED_DEMAND(36, PeerMessage.RejectedDemand.class),
    STREAM_QUERY(37, PeerMessage.StreamQuery.class),
    STREAM_REPLY(38, PeerMessage.StreamReply.class),
    WATCH_CHANGES_QUERY(39, PeerMessage.WatchChangesQuery.class);

    private static final Map<Class<?>, MessageType> BY_CLASS =
            Arrays.stream(values()).collect(Collectors.toMap(type -> type.messageClass, Function.identity()));
    private static final Map<Integer, MessageType> BY_NUMBER =
            Arrays.stream(values()).collect(Collectors.toMap(type -> type.number, Function.identity()));

    private final int number;
    private final Class<? extends PeerMessage> messageClass;

    MessageType(int number, Class<? extends PeerMessage> messageClass) {
        this.number = number;
        this.messageClass = messageClass;
    }

    /** Returns the type of a message. */
    public static MessageType of(PeerMessage message) {
        MessageType type = BY_CLASS.get(message.getClass());
        if (type == null) {
            throw new IllegalArgumentException("no wire type for " + message.getClass());
        }
        return type;
    }

    /** Returns the type with this number, or null if only a newer version knows it. */
    static @Nullable MessageType byNumber(long number) {
        return BY_NUMBER.get((int) Math.min(number, Integer.MAX_VALUE));
    }

    /** Returns the type's name in metrics and logs. */
    public String metricName() {
        return name().toLowerCase(Locale.ROOT);
    }

    int number() {
        return number;
    }
}
