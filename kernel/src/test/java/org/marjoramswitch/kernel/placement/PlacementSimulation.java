package org.marjoramswitch.kernel.placement;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.message.PeerMessage.PlacementEnd;
import org.marjoramswitch.kernel.model.CellId;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.PromptPart;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.settings.PoolSettings;
import org.marjoramswitch.kernel.settings.TargetSettings;

/**
 * One arbiter before a pool of simulated engines, under a load of three kinds of requests by customers of very uneven
 * sizes, in virtual time. A refused request comes back once, when it was told to.
 */
final class PlacementSimulation {
    private static final PoolId POOL = PoolId.of("engines");
    private static final CellId CELL = CellId.of(POOL, 0);
    private static final InstanceId ENTRY = InstanceId.of("entry");
    /** One way between the entry and the arbiter, and on to an engine. */
    private static final double WAY_MS = 1.5;
    /** An engine's report of a first token or an end reaches the arbiter after this. */
    private static final double REPORT_MS = 3;

    private final PlacementArbiter arbiter;
    private final Map<TargetId, SimulatedEngine> engines = new TreeMap<>();
    private final PriorityQueue<Due> due = new PriorityQueue<>();
    private final Map<Long, Request> asked = new HashMap<>();
    private final Map<Kind, Tally> tallies = new EnumMap<>(Kind.class);
    private final Map<CustomerId, Tally> byCustomer = new TreeMap<>();
    private final Set<Long> everRead = new HashSet<>();
    private final Random random;
    private long asks;
    private long order;
    private double nowMs;

    /** The kinds of the larger of the two sites: its shares, sizes and objectives. */
    enum Kind {
        REPORT(1_000_000, 0.25, 322, 4_870, 1_230, 380, 400, 4.0),
        CHECKLIST(2_000_000, 0.29, 374, 79, 430, 290, 250, 2.3),
        QUESTION(3_000_000, 0.46, 394, 227, 1_230, 23, 250, 0.36);

        final long firstPart;
        final double share;
        final int sessions;
        final int sessionTokens;
        final int ownTokens;
        final int outputTokens;
        final double objectiveMs;
        final double worth;

        Kind(
                long firstPart,
                double share,
                int sessions,
                int sessionTokens,
                int ownTokens,
                int outputTokens,
                double objectiveMs,
                double worth) {
            this.firstPart = firstPart;
            this.share = share;
            this.sessions = sessions;
            this.sessionTokens = sessionTokens;
            this.ownTokens = ownTokens;
            this.outputTokens = outputTokens;
            this.objectiveMs = objectiveMs;
            this.worth = worth;
        }
    }

    /** What became of requests. */
    static final class Tally {
        int asked;
        int inTime;
        int late;
        int refused;

        double inTimeShare() {
            return asked == 0 ? 1 : (double) inTime / asked;
        }

        @Override
        public String toString() {
            return "asked " + asked + " in time " + inTime + " late " + late + " refused " + refused;
        }
    }

    private record Due(double atMs, long order, Runnable task) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            int byTime = Double.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private record Request(
            Kind kind,
            CustomerId customer,
            List<PromptPart> prompt,
            int outputTokens,
            double firstAskedMs,
            boolean again) {}

    PlacementSimulation(int count, SimulatedEngine.Speed speed, long seed) {
        this.random = new Random(seed);
        this.arbiter = PlacementArbiter.create(CELL, PoolSettings.modelEngines(POOL), customer -> 1);
        List<TargetSettings> targets = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            TargetId id = TargetId.of("engine-" + i);
            engines.put(id, new SimulatedEngine(speed, everRead));
            targets.add(new TargetSettings(
                    id, POOL, "10.0.0.1", 80, DataCentreId.of("dc"), speed.slots(), false, speed.memoryTokens()));
        }
        arbiter.targets(targets, Set.of());
    }

    /** Arrivals of one customer from {@code fromMs} on. */
    void load(CustomerId customer, double perSecond, double fromMs, double untilMs) {
        double atMs = fromMs + gapMs(perSecond);
        while (atMs < untilMs) {
            at(atMs, () -> arrive(customer));
            atMs += gapMs(perSecond);
        }
    }

    void run(double untilMs) {
        for (double tickMs = 10; tickMs < untilMs; tickMs += 10) {
            at(tickMs, () -> {});
        }
        while (!due.isEmpty() && due.peek().atMs() <= untilMs) {
            Due next = due.poll();
            // Engines work in steps of milliseconds; what they report in between is due before the next event.
            nowMs = next.atMs();
            engines.values().forEach(engine -> engine.advance(nowMs));
            next.task().run();
            decide();
        }
    }

    Tally of(Kind kind) {
        return tallies.computeIfAbsent(kind, missing -> new Tally());
    }

    Tally of(CustomerId customer) {
        return byCustomer.computeIfAbsent(customer, missing -> new Tally());
    }

    /** Earned by requests in time, and a third of it by late ones, as a share of all. */
    double worth() {
        double earned = 0;
        double all = 0;
        for (Kind kind : Kind.values()) {
            earned += kind.worth * (of(kind).inTime + 0.3 * of(kind).late);
            all += kind.worth * of(kind).asked;
        }
        return earned / all;
    }

    private double gapMs(double perSecond) {
        return -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
    }

    private void at(double atMs, Runnable task) {
        due.add(new Due(atMs, order++, task));
    }

    private void arrive(CustomerId customer) {
        Kind kind = kind();
        List<PromptPart> prompt = new ArrayList<>();
        prompt.add(PromptPart.of(kind.firstPart, 300));
        long session = kind.firstPart + 1 + random.nextInt(kind.sessions);
        prompt.add(PromptPart.of(session, kind.sessionTokens));
        prompt.add(PromptPart.of(1L << 40 | order, spread(kind.ownTokens)));
        Request request = new Request(kind, customer, prompt, spread(kind.outputTokens), nowMs, false);
        of(kind).asked++;
        of(customer).asked++;
        ask(request);
    }

    /** Log-normal about the mean: many small, some large. */
    private int spread(int mean) {
        double sigma = 0.8;
        return Math.max(1, (int) (mean * Math.exp(sigma * random.nextGaussian() - sigma * sigma / 2)));
    }

    private Kind kind() {
        double drawn = random.nextDouble();
        for (Kind kind : Kind.values()) {
            drawn -= kind.share;
            if (drawn < 0) {
                return kind;
            }
        }
        return Kind.QUESTION;
    }

    private void ask(Request request) {
        long ask = asks++;
        asked.put(ask, request);
        at(
                nowMs + WAY_MS,
                () -> arbiter.place(
                        ENTRY,
                        new PeerMessage.Place(
                                CELL,
                                ask,
                                request.customer(),
                                1,
                                request.prompt(),
                                request.kind().outputTokens,
                                Math.round(request.kind().objectiveMs - (nowMs - request.firstAskedMs())),
                                request.kind() == Kind.QUESTION ? 2_500 : 13_000,
                                List.of()),
                        Math.round(nowMs)));
    }

    private void decide() {
        List<Action> actions = new ArrayList<>();
        arbiter.decide(Math.round(nowMs), actions::add);
        for (Action action : actions) {
            if (action instanceof Action.SendPeer send && send.message() instanceof PeerMessage.Placed placed) {
                at(nowMs + 2 * WAY_MS, () -> start(placed));
            } else if (action instanceof Action.SendPeer send
                    && send.message() instanceof PeerMessage.NotPlaced refused) {
                refuse(refused);
            }
        }
    }

    private void refuse(PeerMessage.NotPlaced refused) {
        Request request = asked.remove(refused.ask());
        if (request.again()) {
            of(request.kind()).refused++;
            of(request.customer()).refused++;
            return;
        }
        Request second = new Request(
                request.kind(),
                request.customer(),
                request.prompt(),
                request.outputTokens(),
                request.firstAskedMs(),
                true);
        at(nowMs + refused.retryAfterMs(), () -> ask(second));
    }

    private void start(PeerMessage.Placed placed) {
        Request request = asked.remove(placed.ask());
        SimulatedEngine engine = engines.get(placed.target());
        engine.take(
                new SimulatedEngine.Generation(
                        request.prompt(), request.outputTokens(), new SimulatedEngine.Listener() {
                            @Override
                            public void onFirst(double atMs) {
                                boolean inTime =
                                        atMs + 2 * WAY_MS - request.firstAskedMs() <= request.kind().objectiveMs;
                                count(request, inTime);
                                report(atMs, () -> arbiter.answering(ENTRY, placed.ask(), Math.round(nowMs)));
                            }

                            @Override
                            public void onEnd(double atMs) {
                                report(
                                        atMs,
                                        () -> arbiter.ended(
                                                ENTRY,
                                                new PeerMessage.PlacementEnded(
                                                        CELL,
                                                        placed.ask(),
                                                        request.outputTokens(),
                                                        PlacementEnd.SERVED),
                                                Math.round(nowMs)));
                            }
                        }),
                nowMs);
    }

    private void report(double atMs, Runnable told) {
        at(Math.max(nowMs, atMs + REPORT_MS), told);
    }

    private void count(Request request, boolean inTime) {
        if (inTime) {
            of(request.kind()).inTime++;
            of(request.customer()).inTime++;
        } else {
            of(request.kind()).late++;
            of(request.customer()).late++;
        }
    }

    @Override
    public String toString() {
        return "worth " + worth() + ", read again " + rereadTokens() + " of " + readTokens() + ", " + tallies + ", "
                + byCustomer;
    }

    /** Tokens that the engines have read in all. */
    long readTokens() {
        return engines.values().stream().mapToLong(engine -> engine.readTokens).sum();
    }

    /** Of these, tokens of shared parts that an engine had read before. */
    long rereadTokens() {
        return engines.values().stream()
                .mapToLong(engine -> engine.rereadTokens)
                .sum();
    }
}
