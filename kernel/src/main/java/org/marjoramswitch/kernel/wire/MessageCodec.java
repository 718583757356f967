package org.marjoramswitch.kernel.wire;

import static org.marjoramswitch.kernel.message.PeerMessage.TargetLeaving.LISTED;

import java.io.IOException;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.message.PeerMessage.Charges;
import org.marjoramswitch.kernel.message.PeerMessage.CrashNews;
import org.marjoramswitch.kernel.message.PeerMessage.CustomerTokens;
import org.marjoramswitch.kernel.message.PeerMessage.DataCentresEvacuated;
import org.marjoramswitch.kernel.message.PeerMessage.Decline;
import org.marjoramswitch.kernel.message.PeerMessage.DeclineReason;
import org.marjoramswitch.kernel.message.PeerMessage.Demand;
import org.marjoramswitch.kernel.message.PeerMessage.Ended;
import org.marjoramswitch.kernel.message.PeerMessage.Grant;
import org.marjoramswitch.kernel.message.PeerMessage.Heartbeat;
import org.marjoramswitch.kernel.message.PeerMessage.HeldPlacement;
import org.marjoramswitch.kernel.message.PeerMessage.Holding;
import org.marjoramswitch.kernel.message.PeerMessage.KeyQuery;
import org.marjoramswitch.kernel.message.PeerMessage.KeyReply;
import org.marjoramswitch.kernel.message.PeerMessage.KeyState;
import org.marjoramswitch.kernel.message.PeerMessage.Load;
import org.marjoramswitch.kernel.message.PeerMessage.NotPlaced;
import org.marjoramswitch.kernel.message.PeerMessage.Offer;
import org.marjoramswitch.kernel.message.PeerMessage.Place;
import org.marjoramswitch.kernel.message.PeerMessage.PlaceWithdrawn;
import org.marjoramswitch.kernel.message.PeerMessage.Placed;
import org.marjoramswitch.kernel.message.PeerMessage.PlacementAnswering;
import org.marjoramswitch.kernel.message.PeerMessage.PlacementEnd;
import org.marjoramswitch.kernel.message.PeerMessage.PlacementEnded;
import org.marjoramswitch.kernel.message.PeerMessage.PlacementsHeld;
import org.marjoramswitch.kernel.message.PeerMessage.Probe;
import org.marjoramswitch.kernel.message.PeerMessage.ProbeReply;
import org.marjoramswitch.kernel.message.PeerMessage.Progress;
import org.marjoramswitch.kernel.message.PeerMessage.Register;
import org.marjoramswitch.kernel.message.PeerMessage.RejectedDemand;
import org.marjoramswitch.kernel.message.PeerMessage.RequestCrash;
import org.marjoramswitch.kernel.message.PeerMessage.ServedVersion;
import org.marjoramswitch.kernel.message.PeerMessage.SettingsBodies;
import org.marjoramswitch.kernel.message.PeerMessage.SettingsHead;
import org.marjoramswitch.kernel.message.PeerMessage.SettingsQuery;
import org.marjoramswitch.kernel.message.PeerMessage.Standing;
import org.marjoramswitch.kernel.message.PeerMessage.StreamBeginning;
import org.marjoramswitch.kernel.message.PeerMessage.StreamQuery;
import org.marjoramswitch.kernel.message.PeerMessage.StreamReply;
import org.marjoramswitch.kernel.message.PeerMessage.StreamsBegan;
import org.marjoramswitch.kernel.message.PeerMessage.TargetLeaving;
import org.marjoramswitch.kernel.message.PeerMessage.Unregister;
import org.marjoramswitch.kernel.message.PeerMessage.VersionHistory;
import org.marjoramswitch.kernel.message.PeerMessage.WatchBeat;
import org.marjoramswitch.kernel.message.PeerMessage.WatchChangesQuery;
import org.marjoramswitch.kernel.message.PeerMessage.WatchCopy;
import org.marjoramswitch.kernel.message.PeerMessage.WatchNews;
import org.marjoramswitch.kernel.message.PeerMessage.WatchPosition;
import org.marjoramswitch.kernel.message.PeerMessage.WatchQuery;
import org.marjoramswitch.kernel.message.PeerMessage.WatchedEntry;
import org.marjoramswitch.kernel.message.PeerMessage.WitnessQuery;
import org.marjoramswitch.kernel.message.PeerMessage.WitnessReply;
import org.marjoramswitch.kernel.message.PeerMessage.WitnessState;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.Evacuations;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.PromptPart;
import org.marjoramswitch.kernel.model.RequestSpec;
import org.marjoramswitch.kernel.model.TargetId;

/**
 * Defines the fields of each message and their order.
 *
 * <p>Fields with a common value come last and are omitted if they have it: a plain demand for one more request consists
 * of a type, a cell and a customer. A field may be appended to a message later, with a default. It must use neither
 * names of a new kind nor the delta bases of earlier fields, since an older peer skips it.
 */
final class MessageCodec {
    private static final int DEFAULT_ADDED = 1;
    private static final int DEFAULT_SEQUENCE_STEP = 1;
    /** The index in this and the following lists is the constant's number on the wire. */
    private static final List<DeclineReason> DECLINE_REASONS = List.of(
            DeclineReason.NOTHING_WAITING,
            DeclineReason.NOT_THE_ARBITER,
            DeclineReason.TARGET_LEAVING,
            DeclineReason.TARGET_UNKNOWN,
            DeclineReason.INSTANCE_LEAVING);

    private static final List<KeyState> KEY_STATES = List.of(
            KeyState.NEVER_SEEN,
            KeyState.WAITING,
            KeyState.SENT,
            KeyState.ANSWERING,
            KeyState.ENDED,
            KeyState.DEAD,
            KeyState.FORGOTTEN);
    private static final List<WitnessState> WITNESS_STATES =
            List.of(WitnessState.CANNOT_TELL, WitnessState.NEVER_GRANTED, WitnessState.GRANTED);

    private static final List<PlacementEnd> PLACEMENT_ENDS = List.of(
            PlacementEnd.SERVED,
            PlacementEnd.FAILED,
            PlacementEnd.NOT_RUN,
            PlacementEnd.GIVEN_UP,
            PlacementEnd.REFUSED,
            PlacementEnd.CONNECTION_REFUSED);

    private static final Map<MessageType, Codec<?>> CODECS = new EnumMap<>(MessageType.class);

    static {
        put(MessageType.REGISTER, Register.class, MessageCodec::writeRegister, MessageCodec::readRegister);
        put(
                MessageType.UNREGISTER,
                Unregister.class,
                (out, message) -> out.cell(message.cell()),
                in -> new Unregister(in.cell()));
        put(MessageType.DEMAND, Demand.class, MessageCodec::writeDemand, MessageCodec::readDemand);
        put(MessageType.GRANT, Grant.class, MessageCodec::writeGrant, MessageCodec::readGrant);
        put(MessageType.DECLINE, Decline.class, MessageCodec::writeDecline, MessageCodec::readDecline);
        put(
                MessageType.PROGRESS,
                Progress.class,
                (out, message) ->
                        out.cell(message.cell()).sequence(message.sequence()).number(message.costTokens()),
                in -> new Progress(in.cell(), in.sequence(), in.number()));
        put(MessageType.ENDED, Ended.class, MessageCodec::writeEnded, MessageCodec::readEnded);
        put(
                MessageType.CHARGES,
                Charges.class,
                (out, message) -> out.cell(message.cell())
                        .charges(message.chargedTokens())
                        .number(message.freeSlots(), 0),
                in -> new Charges(in.cell(), in.charges(), in.intNumber(0)));
        put(MessageType.LOAD, Load.class, MessageCodec::writeLoad, MessageCodec::readLoad);
        put(
                MessageType.TARGET_LEAVING,
                TargetLeaving.class,
                (out, message) ->
                        out.pool(message.pool()).target(message.target()).number(message.startedAtMs(), LISTED),
                in -> new TargetLeaving(in.pool(), in.target(), in.number(LISTED)));
        put(
                MessageType.KEY_QUERY,
                KeyQuery.class,
                (out, message) ->
                        out.number(message.queryId()).text(message.key()).customer(message.customer()),
                in -> new KeyQuery(in.number(), in.text(), in.customer()));
        put(
                MessageType.KEY_REPLY,
                KeyReply.class,
                (out, message) -> out.number(message.queryId()).number(KEY_STATES.indexOf(message.state())),
                MessageCodec::readKeyReply);
        put(MessageType.WITNESS_QUERY, WitnessQuery.class, MessageCodec::writeWitnessQuery, in -> {
            long queryId = in.number();
            return new WitnessQuery(queryId, in.cell(), in.text(), in.number(), in.number());
        });
        put(
                MessageType.WITNESS_REPLY,
                WitnessReply.class,
                (out, message) -> out.number(message.queryId()).number(WITNESS_STATES.indexOf(message.state())),
                in -> new WitnessReply(in.number(), valueAt(WITNESS_STATES, in.number(), WitnessState.CANNOT_TELL)));
        put(
                MessageType.SETTINGS_HEAD,
                SettingsHead.class,
                (out, message) -> out.number(message.generation()).text(message.digest()),
                in -> new SettingsHead(in.number(), in.text()));
        put(
                MessageType.SETTINGS_QUERY,
                SettingsQuery.class,
                (out, message) -> out.number(message.afterGeneration()),
                in -> new SettingsQuery(in.number()));
        put(
                MessageType.SETTINGS_BODIES,
                SettingsBodies.class,
                (out, message) ->
                        out.number(message.generation()).text(message.digest()).texts(message.bodyByTeam()),
                in -> new SettingsBodies(in.number(), in.text(), in.texts()));
        put(MessageType.HEARTBEAT, Heartbeat.class, (out, message) -> {}, in -> new Heartbeat());
        put(
                MessageType.PROBE,
                Probe.class,
                (out, message) -> out.number(message.number()),
                in -> new Probe(in.number()));
        put(
                MessageType.PROBE_REPLY,
                ProbeReply.class,
                (out, message) -> out.number(message.number()),
                in -> new ProbeReply(in.number()));
        putPlacements();
        putStreams();
        putWatches();
        put(
                MessageType.DATA_CENTRES_EVACUATED,
                DataCentresEvacuated.class,
                (out, message) -> out.number(message.evacuations().revision())
                        .list(
                                List.copyOf(message.evacuations().dataCentres()),
                                dataCentre -> out.item(1).put(dataCentre.name())),
                MessageCodec::readEvacuations);
        put(MessageType.CRASH_NEWS, CrashNews.class, MessageCodec::writeCrashNews, MessageCodec::readCrashNews);
    }

    private static void putPlacements() {
        put(MessageType.PLACE, Place.class, MessageCodec::writePlace, MessageCodec::readPlace);
        put(MessageType.PLACED, Placed.class, MessageCodec::writePlaced, MessageCodec::readPlaced);
        put(
                MessageType.NOT_PLACED,
                NotPlaced.class,
                (out, message) -> out.cell(message.cell())
                        .number(message.placementId())
                        .number(message.retryAfterMs())
                        .number(message.heldMs(), 0)
                        .number(message.streamLost() ? 1 : 0, 0)
                        .number(message.targetsUnknown() ? 1 : 0, 0),
                in -> new NotPlaced(
                        in.cell(), in.number(), in.number(), in.number(0), in.number(0) != 0, in.number(0) != 0));
        put(
                MessageType.PLACE_WITHDRAWN,
                PlaceWithdrawn.class,
                (out, message) -> out.cell(message.cell()).number(message.placementId()),
                in -> new PlaceWithdrawn(in.cell(), in.number()));
        put(
                MessageType.PLACEMENT_ANSWERING,
                PlacementAnswering.class,
                (out, message) -> out.cell(message.cell()).number(message.placementId()),
                in -> new PlacementAnswering(in.cell(), in.number()));
        put(
                MessageType.PLACEMENT_ENDED,
                PlacementEnded.class,
                (out, message) -> out.cell(message.cell())
                        .number(message.placementId())
                        .number(message.outputTokens())
                        .number(PLACEMENT_ENDS.indexOf(message.end()), 0),
                in -> new PlacementEnded(
                        in.cell(),
                        in.number(),
                        in.number(),
                        valueAt(PLACEMENT_ENDS, in.number(0), PlacementEnd.GIVEN_UP)));
        put(
                MessageType.PLACEMENTS_HELD,
                PlacementsHeld.class,
                MessageCodec::writePlacementsHeld,
                MessageCodec::readPlacementsHeld);
        put(
                MessageType.REJECTED_DEMAND,
                RejectedDemand.class,
                (out, message) -> out.list(
                        message.rejected(),
                        entry -> out.item(3)
                                .put(entry.pool())
                                .put(entry.customer())
                                .put(entry.tokens())),
                in -> new RejectedDemand(in.list(() -> new CustomerTokens(in.pool(), in.customer(), in.number()))));
    }

    private static void putStreams() {
        put(
                MessageType.STREAMS_BEGAN,
                StreamsBegan.class,
                (out, message) -> out.pool(message.pool())
                        .list(
                                message.beginnings(),
                                beginning -> out.item(3)
                                        .put(beginning.streamKey())
                                        .put(beginning.softwareVersion())
                                        .put(beginning.leftMs()))
                        .number(message.replicated() ? 1 : 0, 0),
                in -> new StreamsBegan(
                        in.pool(),
                        in.list(() -> new StreamBeginning(in.number(), in.text(), in.number())),
                        in.number(0) != 0));
        put(
                MessageType.VERSION_HISTORY,
                VersionHistory.class,
                (out, message) -> writeServedVersions(out.number(message.knownForMs()), message.versions()),
                in -> new VersionHistory(in.number(), readServedVersions(in)));
        put(
                MessageType.STREAM_QUERY,
                StreamQuery.class,
                (out, message) ->
                        out.number(message.queryId()).pool(message.pool()).number(message.streamKey()),
                in -> new StreamQuery(in.number(), in.pool(), in.number()));
        put(
                MessageType.STREAM_REPLY,
                StreamReply.class,
                (out, message) -> writeServedVersions(
                        out.number(message.queryId())
                                .text(message.softwareVersion())
                                .number(message.knownForMs()),
                        message.versions()),
                in -> new StreamReply(in.number(), in.text(), in.number(), readServedVersions(in)));
    }

    private static void writeServedVersions(MessageWriter out, List<ServedVersion> versions) {
        out.list(
                versions,
                version -> out.item(3)
                        .put(version.pool().name())
                        .put(version.softwareVersion())
                        .put(version.ageMs()));
    }

    private static List<ServedVersion> readServedVersions(MessageReader in) throws IOException {
        return in.list(() -> new ServedVersion(PoolId.of(in.text()), in.text(), in.number()));
    }

    private static void putWatches() {
        put(
                MessageType.WATCH_BEAT,
                WatchBeat.class,
                (out, message) -> out.list(
                        message.positions(),
                        position -> out.item(3)
                                .put(position.prefix())
                                .put(position.changedRevision())
                                .put(position.completeRevision())),
                in -> new WatchBeat(in.list(() -> new WatchPosition(in.text(), in.number(), in.number()))));
        put(
                MessageType.WATCH_NEWS,
                WatchNews.class,
                (out, message) -> writeEntries(
                        out.text(message.prefix())
                                .number(message.fromRevision())
                                .number(message.toRevision()),
                        message.changes()),
                in -> new WatchNews(in.text(), in.number(), in.number(), readEntries(in)));
        put(
                MessageType.WATCH_QUERY,
                WatchQuery.class,
                (out, message) -> out.text(message.prefix()),
                in -> new WatchQuery(in.text()));
        put(
                MessageType.WATCH_CHANGES_QUERY,
                WatchChangesQuery.class,
                (out, message) -> out.text(message.prefix()).number(message.afterRevision()),
                in -> new WatchChangesQuery(in.text(), in.number()));
        put(
                MessageType.WATCH_COPY,
                WatchCopy.class,
                (out, message) ->
                        writeEntries(out.text(message.prefix()).number(message.revision()), message.entries()),
                in -> new WatchCopy(in.text(), in.number(), readEntries(in)));
    }

    private static void writeEntries(MessageWriter out, List<WatchedEntry> entries) {
        out.list(entries, entry -> {
            String value = entry.value();
            out.item(5)
                    .put(entry.key())
                    .put(entry.createRevision())
                    .put(entry.revision())
                    .put(value == null ? 1 : 0)
                    .putLongText(value == null ? "" : value);
        });
    }

    private static List<WatchedEntry> readEntries(MessageReader in) throws IOException {
        return in.list(() -> {
            String key = in.text();
            long createRevision = in.number();
            long revision = in.number();
            boolean removed = in.number() != 0;
            String value = in.longText();
            return new WatchedEntry(key, removed ? null : value, createRevision, revision);
        });
    }

    private MessageCodec() {}

    static void write(MessageWriter out, MessageType type, PeerMessage message) {
        codec(type).write(out, message);
    }

    /** Reads a message; returns null if a value in it is of a newer version and has no safe default. */
    static @Nullable PeerMessage read(MessageReader in, MessageType type) throws IOException {
        return codec(type).reader.read(in);
    }

    private static void writeRegister(MessageWriter out, Register message) {
        out.cell(message.cell())
                .list(
                        message.offers(),
                        offer -> out.item(3)
                                .put(offer.customer())
                                .put(offer.waiting())
                                .put(offer.urgency()))
                .list(
                        message.holdings(),
                        holding -> out.item(4)
                                .put(holding.localId())
                                .put(holding.customer())
                                .put(holding.target())
                                .put(holding.costTokens()))
                .list(
                        message.standings(),
                        standing -> out.item(2).put(standing.customer()).put(standing.aheadTokens()))
                .number(message.lastSequence(), 0);
    }

    private static Register readRegister(MessageReader in) throws IOException {
        return new Register(
                in.cell(),
                in.list(() -> new Offer(in.customer(), in.intNumber(), in.intNumber(RequestSpec.DEFAULT_URGENCY))),
                in.list(() -> new Holding(in.number(), in.customer(), in.target(), in.number())),
                in.list(() -> new Standing(in.customer(), in.number())),
                in.number(0));
    }

    private static void writeDemand(MessageWriter out, Demand message) {
        out.cell(message.cell())
                .customer(message.customer())
                .number(message.added(), DEFAULT_ADDED)
                .number(message.urgency(), RequestSpec.DEFAULT_URGENCY);
    }

    private static Demand readDemand(MessageReader in) throws IOException {
        return new Demand(
                in.cell(), in.customer(), in.intNumber(DEFAULT_ADDED), in.intNumber(RequestSpec.DEFAULT_URGENCY));
    }

    private static void writeGrant(MessageWriter out, Grant message) {
        out.cell(message.cell())
                .customer(message.customer())
                .target(message.target())
                .number(message.aheadTokens())
                .sequence(message.sequence(), DEFAULT_SEQUENCE_STEP);
    }

    private static Grant readGrant(MessageReader in) throws IOException {
        var cell = in.cell();
        var customer = in.customer();
        var target = in.target();
        long aheadTokens = in.number();
        return new Grant(cell, in.sequence(DEFAULT_SEQUENCE_STEP), customer, target, aheadTokens);
    }

    private static void writeDecline(MessageWriter out, Decline message) {
        out.cell(message.cell()).sequence(message.sequence()).number(DECLINE_REASONS.indexOf(message.reason()), 0);
    }

    private static Decline readDecline(MessageReader in) throws IOException {
        // An unknown reason of a newer version still releases the slot; the reason itself is only used in logs.
        return new Decline(
                in.cell(), in.sequence(), valueAt(DECLINE_REASONS, in.intNumber(0), DeclineReason.NOTHING_WAITING));
    }

    private static void writeEnded(MessageWriter out, Ended message) {
        out.cell(message.cell())
                .sequence(message.sequence())
                .number(message.costTokens())
                .number(message.targetFault() ? 1 : 0, 0);
    }

    private static Ended readEnded(MessageReader in) throws IOException {
        return new Ended(in.cell(), in.sequence(), in.number(), in.intNumber(0) != 0);
    }

    private static void writeLoad(MessageWriter out, Load message) {
        out.cell(message.cell())
                .target(message.target())
                .number(message.ageMs())
                .number(message.running())
                .number(message.queued(), 0)
                .number(message.maxBatch(), 0);
    }

    private static Load readLoad(MessageReader in) throws IOException {
        return new Load(in.cell(), in.target(), in.number(), in.intNumber(), in.intNumber(0), in.intNumber(0));
    }

    private static void writePlace(MessageWriter out, Place message) {
        out.cell(message.cell())
                .customer(message.customer())
                .number(message.placementId())
                .number(message.objectiveLeftMs())
                .number(message.waitLeftMs())
                .list(message.parts(), part -> out.item(2).put(part.id()).put(part.tokens()))
                .list(message.excluded(), target -> out.item(1).put(target))
                .number(message.outputTokens(), 0)
                .number(message.urgency(), RequestSpec.DEFAULT_URGENCY)
                .number(message.resumedStream(), Place.NO_STREAM)
                .text(message.softwareVersion(), "")
                .number(message.deadlineLeftMs() - message.waitLeftMs(), 0);
    }

    private static Place readPlace(MessageReader in) throws IOException {
        var cell = in.cell();
        var customer = in.customer();
        long placementId = in.number();
        long objectiveLeftMs = in.number();
        long waitLeftMs = in.number();
        var prompt = in.list(() -> new PromptPart(in.number(), in.intNumber()));
        var excluded = in.list(in::target);
        long outputTokens = in.number(0);
        int urgency = in.intNumber(RequestSpec.DEFAULT_URGENCY);
        long resumedStream = in.number(Place.NO_STREAM);
        String softwareVersion = in.text("");
        long deadlineLeftMs = waitLeftMs + in.number(0);
        return new Place(
                cell,
                placementId,
                customer,
                urgency,
                prompt,
                outputTokens,
                objectiveLeftMs,
                waitLeftMs,
                deadlineLeftMs,
                excluded,
                softwareVersion,
                resumedStream);
    }

    private static DataCentresEvacuated readEvacuations(MessageReader in) throws IOException {
        long revision = in.number();
        List<DataCentreId> dataCentres = in.list(() -> DataCentreId.of(in.text()));
        return new DataCentresEvacuated(Evacuations.of(revision, Set.copyOf(dataCentres)));
    }

    private static void writePlaced(MessageWriter out, Placed message) {
        TargetId source = message.fetchFrom();
        out.cell(message.cell())
                .number(message.placementId())
                .target(message.target())
                .list(
                        source == null ? List.of() : List.of(source),
                        target -> out.item(1).put(target))
                .number(message.heldMs(), 0)
                .number(message.startWithinMs(), Placed.ANY_TIME)
                .text(message.softwareVersion(), "");
    }

    private static Placed readPlaced(MessageReader in) throws IOException {
        var cell = in.cell();
        long placementId = in.number();
        var target = in.target();
        List<TargetId> source = in.list(in::target);
        return new Placed(
                cell,
                placementId,
                target,
                source.isEmpty() ? null : source.get(0),
                in.number(0),
                in.number(Placed.ANY_TIME),
                in.text(""));
    }

    private static void writePlacementsHeld(MessageWriter out, PlacementsHeld message) {
        out.cell(message.cell())
                .list(
                        message.held(),
                        held -> out.item(6)
                                .put(held.placementId())
                                .put(held.customer())
                                .put(held.target())
                                .put(held.promptTokens())
                                .put(held.outputTokens())
                                .put(held.answering() ? 1 : 0));
    }

    private static PlacementsHeld readPlacementsHeld(MessageReader in) throws IOException {
        return new PlacementsHeld(
                in.cell(),
                in.list(() -> new HeldPlacement(
                        in.number(), in.customer(), in.target(), in.number(), in.number(), in.number() != 0)));
    }

    private static void writeCrashNews(MessageWriter out, CrashNews message) {
        out.list(
                        message.crashes(),
                        crash -> out.item(4)
                                .put(crash.digest())
                                .put(crash.target())
                                .put(crash.ageMs())
                                .put(crash.promptPart() ? 1 : 0))
                .list(message.served(), digest -> out.item(1).put(digest));
    }

    private static CrashNews readCrashNews(MessageReader in) throws IOException {
        return new CrashNews(
                in.list(() -> new RequestCrash(in.number(), in.target(), in.number(), in.number() != 0)),
                in.list(in::number));
    }

    private static void writeWitnessQuery(MessageWriter out, WitnessQuery message) {
        out.number(message.queryId())
                .cell(message.cell())
                .text(message.entry())
                .number(message.entryIncarnation())
                .number(message.sinceMs());
    }

    private static @Nullable KeyReply readKeyReply(MessageReader in) throws IOException {
        long queryId = in.number();
        long state = in.number();
        if (state < 0 || state >= KEY_STATES.size()) {
            return null;
        }
        return new KeyReply(queryId, KEY_STATES.get((int) state));
    }

    private static <E> E valueAt(List<E> values, long index, E defaultValue) {
        return index >= 0 && index < values.size() ? values.get((int) index) : defaultValue;
    }

    private static <M extends PeerMessage> void put(
            MessageType type, Class<M> messageClass, Writer<M> writer, Reader<M> reader) {
        CODECS.put(type, new Codec<>(messageClass, writer, reader));
    }

    private static Codec<?> codec(MessageType type) {
        Codec<?> codec = CODECS.get(type);
        if (codec == null) {
            throw new IllegalStateException("no codec for " + type);
        }
        return codec;
    }

    private record Codec<M extends PeerMessage>(Class<M> messageClass, Writer<M> writer, Reader<M> reader) {
        void write(MessageWriter out, PeerMessage message) {
            writer.write(out, messageClass.cast(message));
        }
    }

    private interface Writer<M> {
        void write(MessageWriter out, M message);
    }

    private interface Reader<M> {
        @Nullable
        M read(MessageReader in) throws IOException;
    }
}
