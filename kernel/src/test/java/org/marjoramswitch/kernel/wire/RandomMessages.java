package org.marjoramswitch.kernel.wire;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.model.CellId;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.Evacuations;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.PromptPart;
import org.marjoramswitch.kernel.model.TargetId;

/** Generates random messages of every type, with names from a small set and often extreme numbers. */
final class RandomMessages {
    private final Random random;

    RandomMessages(long seed) {
        this.random = new Random(seed);
    }

    List<PeerMessage> next(int count) {
        return list(count, this::next);
    }

    PeerMessage next() {
        return switch (random.nextInt(39)) {
            case 0 -> new PeerMessage.Register(cell(), offers(), holdings(), standings(), number());
            case 1 -> new PeerMessage.Unregister(cell());
            case 2 -> new PeerMessage.Demand(cell(), customer(), random.nextInt(4) - 1, random.nextInt(8));
            case 3 -> new PeerMessage.Grant(cell(), number(), customer(), target(), number());
            case 4 -> new PeerMessage.Decline(cell(), number(), any(PeerMessage.DeclineReason.values()));
            case 5 -> new PeerMessage.Progress(cell(), number(), number());
            case 6 -> new PeerMessage.Ended(cell(), number(), number(), random.nextBoolean());
            case 7 -> new PeerMessage.Charges(cell(), charges(), random.nextInt(100));
            case 8 -> new PeerMessage.Load(cell(), target(), number(), random.nextInt(), random.nextInt(3), 0);
            case 9 -> new PeerMessage.TargetLeaving(cell().pool(), target(), number());
            case 10 -> new PeerMessage.KeyQuery(number(), "schlüssel-" + random.nextInt(), customer());
            case 11 -> new PeerMessage.KeyReply(number(), any(PeerMessage.KeyState.values()));
            case 12 -> new PeerMessage.WitnessQuery(number(), cell(), "entry", number(), number());
            case 13 -> new PeerMessage.WitnessReply(number(), any(PeerMessage.WitnessState.values()));
            case 14 -> new PeerMessage.SettingsHead(number(), "digest");
            case 15 -> new PeerMessage.SettingsQuery(number());
            case 16 -> new PeerMessage.SettingsBodies(number(), "d", Map.of("team-a", "{}", "é", "x".repeat(900)));
            case 17 -> new PeerMessage.Probe(number());
            case 18 -> new PeerMessage.ProbeReply(number());
            case 19 ->
                new PeerMessage.Place(
                        cell(),
                        number(),
                        customer(),
                        3,
                        parts(),
                        number(),
                        number(),
                        number(),
                        number(),
                        List.of(target()),
                        version(),
                        random.nextBoolean() ? PeerMessage.Place.NO_STREAM : number());
            case 20 ->
                new PeerMessage.Placed(
                        cell(),
                        number(),
                        target(),
                        random.nextBoolean() ? target() : null,
                        number(),
                        number(),
                        version());
            case 21 -> new PeerMessage.NotPlaced(cell(), number(), number(), number(), random.nextBoolean());
            case 22 -> new PeerMessage.PlaceWithdrawn(cell(), number());
            case 23 -> new PeerMessage.PlacementAnswering(cell(), number());
            case 24 ->
                new PeerMessage.PlacementEnded(cell(), number(), number(), any(PeerMessage.PlacementEnd.values()));
            case 25 -> new PeerMessage.PlacementsHeld(cell(), held());
            case 26 -> new PeerMessage.WatchBeat(positions());
            case 27 -> new PeerMessage.WatchNews("list/", number(), number(), entries());
            case 28 -> new PeerMessage.WatchQuery("list/");
            case 29 -> new PeerMessage.WatchCopy("list/", number(), entries());
            case 30 -> new PeerMessage.CrashNews(crashes(), list(random.nextInt(3), this::number));
            case 31 ->
                new PeerMessage.DataCentresEvacuated(
                        Evacuations.of(number(), Set.of(DataCentreId.of("dc-" + random.nextInt(3)))));
            case 32 -> new PeerMessage.StreamsBegan(cell().pool(), beginnings(), random.nextBoolean());
            case 33 -> new PeerMessage.VersionHistory(number(), servedVersions());
            case 34 -> new PeerMessage.RejectedDemand(rejected());
            case 35 -> new PeerMessage.StreamQuery(number(), cell().pool(), number());
            case 36 -> new PeerMessage.StreamReply(number(), "v" + random.nextInt(3), number(), servedVersions());
            case 37 -> new PeerMessage.WatchChangesQuery("servers/", number());
            default -> new PeerMessage.Heartbeat();
        };
    }

    private List<PeerMessage.Offer> offers() {
        return list(random.nextInt(4), () -> new PeerMessage.Offer(customer(), random.nextInt(99), random.nextInt(8)));
    }

    private List<PeerMessage.Holding> holdings() {
        return list(
                random.nextInt(4), () -> new PeerMessage.Holding(number(), customer(), target(), random.nextInt(999)));
    }

    private List<PeerMessage.CustomerTokens> rejected() {
        return list(random.nextInt(4), () -> new PeerMessage.CustomerTokens(cell().pool(), customer(), number()));
    }

    private List<PromptPart> parts() {
        return list(random.nextInt(4), () -> PromptPart.of(number(), random.nextInt(9_000)));
    }

    private List<PeerMessage.HeldPlacement> held() {
        return list(
                random.nextInt(4),
                () -> new PeerMessage.HeldPlacement(
                        number(), customer(), target(), number(), number(), random.nextBoolean()));
    }

    private List<PeerMessage.RequestCrash> crashes() {
        return list(
                random.nextInt(4),
                () -> new PeerMessage.RequestCrash(number(), target(), number(), random.nextBoolean()));
    }

    private List<PeerMessage.WatchPosition> positions() {
        return list(random.nextInt(4), () -> new PeerMessage.WatchPosition("op/é", number(), number()));
    }

    private List<PeerMessage.WatchedEntry> entries() {
        return list(
                random.nextInt(4),
                () -> random.nextBoolean()
                        ? PeerMessage.WatchedEntry.removed("list/é", number())
                        : new PeerMessage.WatchedEntry(
                                "list/a", "x".repeat(random.nextInt(3_000)), number(), number()));
    }

    private List<PeerMessage.StreamBeginning> beginnings() {
        return list(random.nextInt(4), () -> new PeerMessage.StreamBeginning(random.nextLong(), version(), number()));
    }

    private List<PeerMessage.ServedVersion> servedVersions() {
        return list(random.nextInt(4), () -> new PeerMessage.ServedVersion(cell().pool(), version(), number()));
    }

    private String version() {
        return random.nextBoolean() ? "" : "v1." + random.nextInt(3);
    }

    private List<PeerMessage.Standing> standings() {
        return list(random.nextInt(4), () -> new PeerMessage.Standing(customer(), number()));
    }

    private Map<CustomerId, Long> charges() {
        Map<CustomerId, Long> charges = new LinkedHashMap<>();
        list(random.nextInt(5), this::customer).forEach(customer -> charges.put(customer, number()));
        return charges;
    }

    private CellId cell() {
        return CellId.of(PoolId.of("pool-" + random.nextInt(3)), random.nextInt(3));
    }

    private CustomerId customer() {
        return CustomerId.of("customer-" + random.nextInt(200));
    }

    private TargetId target() {
        return TargetId.of("target-" + random.nextInt(20));
    }

    private long number() {
        return random.nextInt(3) == 0 ? random.nextLong() : random.nextInt(100_000);
    }

    private <E> E any(E[] values) {
        return values[random.nextInt(values.length)];
    }

    private static <T> List<T> list(int count, Supplier<T> item) {
        List<T> list = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            list.add(item.get());
        }
        return list;
    }
}
