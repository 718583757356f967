package org.marjoramswitch.kernel.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.model.CellId;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.Evacuations;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.TargetId;

class LinkCodecTest {
    private static final CellId CELL = CellId.of(PoolId.of("atelier-llm"), 2);
    private static final CustomerId CUSTOMER = CustomerId.of("cellules-nord");
    private static final TargetId TARGET = TargetId.of("atelier-llm-5");

    private final LinkEncoder encoder = LinkEncoder.create();
    private final LinkDecoder decoder = LinkDecoder.create();

    @Property(tries = 200, seed = "11")
    void decodesWhatIsEncoded(@ForAll long seed, @ForAll @IntRange(min = 1, max = 20) int perFrame) {
        RandomMessages messages = new RandomMessages(seed);
        LinkEncoder sender = LinkEncoder.create();
        LinkDecoder receiver = LinkDecoder.create();
        for (int frame = 0; frame < 10; frame++) {
            List<PeerMessage> sent = messages.next(perFrame);
            assertEquals(new DecodeResult.Decoded(sent, 0), receiver.decode(encodeAll(sender, sent)));
        }
    }

    @Property(tries = 2_000, seed = "12")
    void arbitraryBytesEndInATypedResult(@ForAll @Size(max = 300) byte[] bytes) {
        DecodeResult result = LinkDecoder.create().decode(bytes);
        assertTrue(result instanceof DecodeResult.Decoded || result instanceof DecodeResult.Malformed);
    }

    @Property(tries = 1_000, seed = "13")
    void aDamagedFrameEndsInATypedResult(@ForAll long seed) {
        Random random = new Random(seed);
        byte[] frame = encodeAll(LinkEncoder.create(), new RandomMessages(seed).next(8));
        for (int i = 0; i < 3; i++) {
            frame[random.nextInt(frame.length)] = (byte) random.nextInt();
        }
        byte[] cut = Arrays.copyOf(frame, random.nextInt(frame.length) + 1);
        DecodeResult result = LinkDecoder.create().decode(cut);
        assertTrue(result instanceof DecodeResult.Decoded || result instanceof DecodeResult.Malformed);
    }

    @Test
    void everyMessageHasATypeAndIsAmongTheRandomOnes() {
        Set<Class<?>> drawn =
                new RandomMessages(5).next(2_000).stream().map(Object::getClass).collect(Collectors.toSet());
        for (Class<?> message : PeerMessage.class.getPermittedSubclasses()) {
            assertTrue(drawn.contains(message), () -> message + " is not tested");
        }
    }

    @Test
    void messagesTakeFewBytesOnceNamesAreDefined() {
        long sequence = 5_000_000_000L;
        encoder.encode(new PeerMessage.Grant(CELL, sequence, CUSTOMER, TARGET, 0));
        encoder.encode(new PeerMessage.Ended(CELL, sequence, 1, false));

        assertSize(4, new PeerMessage.Demand(CELL, CUSTOMER, 1, 3));
        assertSize(6, new PeerMessage.Demand(CELL, CUSTOMER, 3, 1));
        assertSize(8, new PeerMessage.Grant(CELL, sequence + 1, CUSTOMER, TARGET, 900));
        assertSize(7, new PeerMessage.Progress(CELL, sequence + 1, 250 + 256));
        assertSize(7, new PeerMessage.Ended(CELL, sequence + 2, 60_000, false));
        assertSize(8, new PeerMessage.Ended(CELL, sequence + 1, 60_000, true));
        assertSize(2, new PeerMessage.Heartbeat());
    }

    @Test
    void anUnknownTypeIsSkippedAndCountedButItsDefinitionsApply() {
        // A newer peer sends a message of an unknown type that uses a name for the first time. The name's definition
        // precedes the message, so it applies although the message is skipped; otherwise the following demand would be
        // attributed to the wrong customer.
        byte[] demand = encoder.encode(new PeerMessage.Demand(CELL, CUSTOMER, 1, 3));
        byte[] unknown = {(byte) 0x93, 99, 0, 0};
        byte[] known = encoder.encode(new PeerMessage.Demand(CELL, CUSTOMER, 2, 3));
        byte[] definitions = Arrays.copyOf(demand, demand.length - 4);

        DecodeResult result = decoder.decode(concat(definitions, unknown, known));

        assertEquals(new DecodeResult.Decoded(List.of(new PeerMessage.Demand(CELL, CUSTOMER, 2, 3)), 1), result);
    }

    @Test
    void anUnknownKeyStateIsSkippedAndAnUnknownDeclineReasonStillReleasesTheSlot() {
        byte[] names = encoder.encode(new PeerMessage.Unregister(CELL));
        byte[] reply = {(byte) 0x93, 12, 1, 99};
        byte[] decline = {(byte) 0x94, 5, 0, 7, 99};

        DecodeResult result = decoder.decode(concat(names, reply, decline));

        assertEquals(
                new DecodeResult.Decoded(
                        List.of(
                                new PeerMessage.Unregister(CELL),
                                new PeerMessage.Decline(CELL, 7, PeerMessage.DeclineReason.NOTHING_WAITING)),
                        1),
                result);
    }

    @Test
    void unknownTrailingFieldsAreIgnoredAndAMissingRequiredOneIsAFault() {
        byte[] names = encoder.encode(new PeerMessage.Unregister(CELL));
        byte[] longer = {(byte) 0x94, 2, 0, (byte) 0xa1, 'x', (byte) 0x91, 5};

        assertEquals(
                new DecodeResult.Decoded(
                        List.of(new PeerMessage.Unregister(CELL), new PeerMessage.Unregister(CELL)), 0),
                decoder.decode(concat(names, longer)));
        assertEquals(new DecodeResult.Malformed(WireFault.FIELD_MISSING), decoder.decode(new byte[] {(byte) 0x91, 2}));
    }

    @Test
    void lengthsBeyondTheFrameAreRejectedBeforeAnythingIsAllocated() {
        byte[] hugeArray = {(byte) 0xdd, 0x7f, -1, -1, -1};
        byte[] hugeText = {(byte) 0x94, 0, 0, 0, (byte) 0xdb, 0x7f, -1, -1, -1};

        assertEquals(new DecodeResult.Malformed(WireFault.TRUNCATED), decoder.decode(hugeArray));
        assertEquals(new DecodeResult.Malformed(WireFault.TOO_LARGE), decoder.decode(hugeText));
        assertEquals(
                new DecodeResult.Malformed(WireFault.TOO_LARGE),
                decoder.decode(new byte[WireLimits.MAX_FRAME_BYTES + 1]));
    }

    @Test
    void whenAllIdsAreInUseANewNameReplacesTheOldest() {
        int names = WireLimits.MAX_LINK_NAMES + 10;
        for (int i = 0; i < names; i++) {
            assertDecodes(new PeerMessage.Demand(CELL, CustomerId.of("c" + i), 1, 3));
        }
        assertDecodes(new PeerMessage.Demand(CELL, CustomerId.of("c0"), 1, 3));
        assertDecodes(new PeerMessage.Demand(CELL, CustomerId.of("c" + (names - 1)), 1, 3));
    }

    @Test
    void framePrefixesRoundTripAndAreBounded() {
        for (int payloadBytes : new int[] {0, 1, 127, 128, 255, 256, 65_535, 65_536, 1 << 20}) {
            ByteBuffer buffer = ByteBuffer.allocate(8);
            FrameCodec.putPrefix(buffer, payloadBytes);
            buffer.flip();
            assertEquals(FrameCodec.overheadBytes(payloadBytes), buffer.remaining());
            assertEquals(payloadBytes, FrameCodec.payloadBytes(buffer, 1 << 20));
            assertEquals(0, buffer.remaining());
        }
        assertEquals(FrameCodec.INCOMPLETE, FrameCodec.payloadBytes(ByteBuffer.wrap(new byte[] {(byte) 0xcd, 1}), 99));
        assertEquals(FrameCodec.INVALID, FrameCodec.payloadBytes(ByteBuffer.wrap(new byte[] {(byte) 0xc0}), 99));
        assertEquals(FrameCodec.INVALID, FrameCodec.payloadBytes(ByteBuffer.wrap(new byte[] {100}), 99));
    }

    /**
     * Guards against a link that is closed again and again: an entry of the targets' list with a version of 100,000
     * characters was encoded, and the peer rejected the frame.
     */
    @ParameterizedTest
    @MethodSource("oddNames")
    void messagesWithOddNamesAreDecodable(String name) {
        PoolId pool = PoolId.of(name);
        CellId cell = CellId.of(pool, 0);
        CustomerId customer = CustomerId.of(name);
        TargetId target = TargetId.of(name);
        List<PeerMessage> messages = List.of(
                new PeerMessage.VersionHistory(1, List.of(new PeerMessage.ServedVersion(pool, name, 2))),
                new PeerMessage.StreamsBegan(pool, List.of(new PeerMessage.StreamBeginning(1, name, 2)), true),
                new PeerMessage.Placed(cell, 1, target, null, 0),
                new PeerMessage.Place(cell, 1, customer, 3, List.of(), 1, 2, 3, List.of(target))
                        .withSoftwareVersion(name),
                new PeerMessage.Charges(cell, Map.of(customer, 7L), 0),
                new PeerMessage.KeyQuery(1, name, customer),
                new PeerMessage.WatchQuery(name),
                new PeerMessage.WatchChangesQuery(name, 3),
                new PeerMessage.WatchNews("servers/", 1, 2, List.of(new PeerMessage.WatchedEntry(name, "value", 1, 2))),
                new PeerMessage.SettingsBodies(1, name, Map.of(name, "body")),
                new PeerMessage.DataCentresEvacuated(Evacuations.of(1, Set.of(DataCentreId.of(name)))));
        for (PeerMessage message : messages) {
            var decoded = assertInstanceOf(DecodeResult.Decoded.class, decoder.decode(encoder.encode(message)));
            assertEquals(
                    List.of(message.getClass()),
                    decoded.messages().stream().map(Object::getClass).toList());
        }
        assertDecodes(new PeerMessage.Demand(CELL, CUSTOMER, 1, 3));
    }

    /** Guards against two names that the peer takes for one, such as versions that differ in half a surrogate pair. */
    @Test
    void differentOddNamesStayDifferent() {
        List<String> names = oddNames().toList();
        List<PeerMessage.ServedVersion> versions = names.stream()
                .map(name -> new PeerMessage.ServedVersion(PoolId.of("p"), name, 1))
                .toList();
        byte[] frame = encoder.encode(new PeerMessage.VersionHistory(1, versions));
        var decoded = assertInstanceOf(DecodeResult.Decoded.class, decoder.decode(frame));
        var history = assertInstanceOf(
                PeerMessage.VersionHistory.class, decoded.messages().get(0));
        Set<String> received = history.versions().stream()
                .map(PeerMessage.ServedVersion::softwareVersion)
                .collect(Collectors.toSet());
        assertEquals(names.size(), received.size());
    }

    static Stream<String> oddNames() {
        return Stream.of(
                "v".repeat(100_000),
                "v".repeat(100_000) + "w",
                "v".repeat(WireLimits.MAX_NAME_BYTES),
                "v".repeat(WireLimits.MAX_NAME_BYTES + 1),
                "\u00e9".repeat(WireLimits.MAX_NAME_BYTES / 2 + 1),
                "\ud83d\ude00".repeat(WireLimits.MAX_NAME_BYTES / 4 + 1),
                "v\ud83d",
                "v\ude00",
                "v?",
                "v\u0000");
    }

    /** Guards against a link that is closed because a list has more items than the peer accepts. */
    @Test
    void longListsAreDecodable() {
        int items = WireLimits.MAX_LIST_ITEMS + 1;
        PoolId pool = PoolId.of("p");
        List<PeerMessage.ServedVersion> versions = IntStream.range(0, items)
                .mapToObj(i -> new PeerMessage.ServedVersion(pool, "v" + i, i))
                .toList();
        List<PeerMessage.StreamBeginning> beginnings = IntStream.range(0, items)
                .mapToObj(i -> new PeerMessage.StreamBeginning(i, "v", 2))
                .toList();
        List<PeerMessage.HeldPlacement> held = IntStream.range(0, items)
                .mapToObj(i -> new PeerMessage.HeldPlacement(i, CUSTOMER, TARGET, 1, 1, true))
                .toList();
        List<PeerMessage.WatchedEntry> entries = IntStream.range(0, items)
                .mapToObj(i -> new PeerMessage.WatchedEntry("k" + i, "v", 1, 2 + i))
                .toList();
        Map<CustomerId, Long> charges =
                IntStream.range(0, items).boxed().collect(Collectors.toMap(i -> CustomerId.of("c" + i), i -> (long) i));
        assertEquals(
                versions,
                received(new PeerMessage.VersionHistory(9, versions), PeerMessage.VersionHistory.class)
                        .flatMap(message -> message.versions().stream())
                        .toList());
        assertEquals(
                beginnings,
                received(new PeerMessage.StreamsBegan(pool, beginnings, true), PeerMessage.StreamsBegan.class)
                        .flatMap(message -> message.beginnings().stream())
                        .toList());
        assertEquals(
                held,
                received(new PeerMessage.PlacementsHeld(CELL, held), PeerMessage.PlacementsHeld.class)
                        .flatMap(message -> message.held().stream())
                        .toList());
        assertEquals(
                entries,
                received(new PeerMessage.WatchNews("p", 1, items + 2, entries), PeerMessage.WatchNews.class)
                        .flatMap(message -> message.changes().stream())
                        .toList());
        Map<CustomerId, Long> receivedCharges = new HashMap<>();
        received(new PeerMessage.Charges(CELL, charges, 0), PeerMessage.Charges.class)
                .forEach(message -> receivedCharges.putAll(message.chargedTokens()));
        assertEquals(charges, receivedCharges);
        // A copy with some of the entries only would remove the others at the peer.
        assertEquals(
                0,
                received(new PeerMessage.WatchCopy("p", 1, entries), PeerMessage.WatchCopy.class)
                        .count());
        assertDecodes(new PeerMessage.Demand(CELL, CUSTOMER, 1, 3));
    }

    /** Guards against a link that is closed because a registration has more items than the peer accepts. */
    @Test
    void itemsBeyondTheLimitOfARegistrationAreOmitted() {
        List<PeerMessage.Holding> holdings = IntStream.range(0, WireLimits.MAX_LIST_ITEMS + 1)
                .mapToObj(i -> new PeerMessage.Holding(i, CUSTOMER, TARGET, 1))
                .toList();
        PeerMessage message = new PeerMessage.Register(CELL, List.of(), holdings, List.of(), 5);
        assertEquals(
                List.of(new PeerMessage.Register(
                        CELL, List.of(), holdings.subList(0, WireLimits.MAX_LIST_ITEMS), List.of(), 5)),
                received(message, PeerMessage.Register.class).toList());
    }

    private <M> Stream<M> received(PeerMessage message, Class<M> type) {
        var decoded = assertInstanceOf(DecodeResult.Decoded.class, decoder.decode(encoder.encode(message)));
        return decoded.messages().stream().map(type::cast);
    }

    private void assertSize(int bytes, PeerMessage message) {
        assertEquals(bytes, encoder.encode(message).length, () -> "bytes of " + message);
    }

    private void assertDecodes(PeerMessage message) {
        var decoded = assertInstanceOf(DecodeResult.Decoded.class, decoder.decode(encoder.encode(message)));
        assertEquals(List.of(message), decoded.messages());
    }

    private static byte[] encodeAll(LinkEncoder encoder, List<PeerMessage> messages) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        messages.forEach(message -> out.writeBytes(encoder.encode(message)));
        return out.toByteArray();
    }

    private static byte[] concat(byte[]... parts) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        Arrays.stream(parts).forEach(out::writeBytes);
        return out.toByteArray();
    }
}
