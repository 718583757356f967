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
import java.util.function.Consumer;
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
    /** A normal variable is above this many deviations once in ten times. */
    private static final double TOP_TENTH = 1.2816;

    private static final double OUTPUT_SIGMA = 0.8;
    private static final int FIRST_PART_TOKENS = 300;
    /** Of what a request is worth in time, what it is worth late. */
    private static final double LATE_WORTH = 0.3;
    /** A generated token counts as ten read ones in a request's size. */
    private static final double OUTPUT_TOKEN_SIZE = 10;

    private final PlacementArbiter arbiter;
    private final Map<TargetId, SimulatedEngine> engines = new TreeMap<>();
    private final PriorityQueue<Due> due = new PriorityQueue<>();
    private final Map<Long, Request> asked = new HashMap<>();
    private final Map<Kind, Tally> tallies = new EnumMap<>(Kind.class);
    private final Map<CustomerId, Tally> byCustomer = new TreeMap<>();
    private final Set<Long> everRead = new HashSet<>();
    private final Map<Kind, Tally> largest = new EnumMap<>(Kind.class);
    private final Sizes sizes;
    private final Random random;
    private long asks;
    private long order;
    private double nowMs;
    private double earned;
    private double owed;

    /** The kinds of the larger of the two sites: its shares, sizes and objectives. */
    enum Kind {
        REPORT(1_000_000, 0.25, 322, 4_870, 1_230, 6_610, 1.4, 54_600, 380, 400, 4.0),
        CHECKLIST(2_000_000, 0.29, 374, 79, 430, 628, 1.0, 3_310, 290, 250, 2.3),
        QUESTION(3_000_000, 0.46, 394, 227, 1_230, 1_800, 1.3, 6_870, 23, 250, 0.36);

        final long firstPart;
        final double share;
        final int sessions;
        final int sessionTokens;
        final int ownTokens;
        final int unevenTokens;
        final double unevenSigma;
        final int unevenMost;
        final int outputTokens;
        final double objectiveMs;
        final double worth;

        Kind(
                long firstPart,
                double share,
                int sessions,
                int sessionTokens,
                int ownTokens,
                int unevenTokens,
                double unevenSigma,
                int unevenMost,
                int outputTokens,
                double objectiveMs,
                double worth) {
            this.firstPart = firstPart;
            this.share = share;
            this.sessions = sessions;
            this.sessionTokens = sessionTokens;
            this.ownTokens = ownTokens;
            this.unevenTokens = unevenTokens;
            this.unevenSigma = unevenSigma;
            this.unevenMost = unevenMost;
            this.outputTokens = outputTokens;
            this.objectiveMs = objectiveMs;
            this.worth = worth;
        }
    }

    /**
     * How long the prompts' own last parts are. The mean alone hides what is hard: in the sizes that the larger site
     * states, a tenth of the reports brings half of their tokens, and the largest of them need most of their objective
     * for the reading alone.
     */
    enum Sizes {
        /** Moderately spread about the kinds' means. */
        MODERATE,
        /** As the site states them. */
        UNEVEN;

        private static final double MODERATE_SIGMA = 0.8;

        double mean(Kind kind) {
            return this == MODERATE ? kind.ownTokens : kind.unevenTokens;
        }

        double sigma(Kind kind) {
            return this == MODERATE ? MODERATE_SIGMA : kind.unevenSigma;
        }

        int ownTokens(Kind kind, Random random) {
            int most = this == MODERATE ? Integer.MAX_VALUE : kind.unevenMost;
            return (int) Math.min(most, spread(mean(kind), sigma(kind), random));
        }

        /** Whether the size is among the largest tenth. */
        boolean isLarge(Kind kind, int tokens) {
            double sigma = sigma(kind);
            return tokens >= mean(kind) * Math.exp(sigma * TOP_TENTH - sigma * sigma / 2);
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

        /** In time or late. */
        double servedShare() {
            return asked == 0 ? 1 : (double) (inTime + late) / asked;
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
            boolean large,
            int outputTokens,
            double firstAskedMs,
            boolean again) {
        Request secondTry() {
            return new Request(kind, customer, prompt, large, outputTokens, firstAskedMs, true);
        }
    }

    PlacementSimulation(int count, SimulatedEngine.Speed speed, Sizes sizes, long seed) {
        this.sizes = sizes;
        this.random = new Random(seed);
        this.arbiter = PlacementArbiter.create(CELL, PoolSettings.modelEngines(POOL), customer -> 1);
        List<TargetSettings> targets = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            TargetId id = TargetId.of("engine-" + i);
            engines.put(id, new SimulatedEngine(speed, everRead));
            targets.add(new TargetSettings(
                    id, POOL, "10.0.0.1", 80, DataCentreId.of("dc"), speed.slots(), false, speed.memory()));
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

    /** The tenth of a kind with the longest prompts. */
    Tally ofLargest(Kind kind) {
        return largest.computeIfAbsent(kind, missing -> new Tally());
    }

    Tally of(CustomerId customer) {
        return byCustomer.computeIfAbsent(customer, missing -> new Tally());
    }

    /** As {@link #worth}, with each request worth more the larger it is, at most four times its kind's mean. */
    double worthBySize() {
        return earned / owed;
    }

    /** Earned by requests in time, and a third of it by late ones, as a share of all. */
    double worth() {
        double earned = 0;
        double all = 0;
        for (Kind kind : Kind.values()) {
            earned += kind.worth * (of(kind).inTime + LATE_WORTH * of(kind).late);
            all += kind.worth * of(kind).asked;
        }
        return earned / all;
    }

    private double worthBySize(Request request) {
        Kind kind = request.kind();
        double mean = FIRST_PART_TOKENS + kind.sessionTokens + sizes.mean(kind) + OUTPUT_TOKEN_SIZE * kind.outputTokens;
        double size = request.prompt().stream().mapToLong(PromptPart::tokens).sum()
                + OUTPUT_TOKEN_SIZE * request.outputTokens();
        return kind.worth * Math.min(4, 0.3 + 0.7 * size / mean);
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
        prompt.add(PromptPart.of(kind.firstPart, FIRST_PART_TOKENS));
        long session = kind.firstPart + 1 + random.nextInt(kind.sessions);
        prompt.add(PromptPart.of(session, kind.sessionTokens));
        int ownTokens = sizes.ownTokens(kind, random);
        prompt.add(PromptPart.of(1L << 40 | order, ownTokens));
        int outputTokens = (int) spread(kind.outputTokens, OUTPUT_SIGMA, random);
        boolean large = sizes.isLarge(kind, ownTokens);
        Request request = new Request(kind, customer, prompt, large, outputTokens, nowMs, false);
        count(request, tally -> tally.asked++);
        owed += worthBySize(request);
        ask(request);
    }

    /** Log-normal about the mean: many small, some large. */
    private static double spread(double mean, double sigma, Random random) {
        return Math.max(1, mean * Math.exp(sigma * random.nextGaussian() - sigma * sigma / 2));
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
            count(request, tally -> tally.refused++);
            return;
        }
        at(nowMs + refused.retryAfterMs(), () -> ask(request.secondTry()));
    }

    private void start(PeerMessage.Placed placed) {
        Request request = asked.remove(placed.ask());
        SimulatedEngine engine = engines.get(placed.target());
        engine.take(
                new SimulatedEngine.Generation(
                        request.prompt(),
                        request.outputTokens(),
                        placed.fetchFrom() == null ? null : engines.get(placed.fetchFrom()),
                        new SimulatedEngine.Listener() {
                            @Override
                            public void onFirst(double atMs) {
                                boolean inTime =
                                        atMs + 2 * WAY_MS - request.firstAskedMs() <= request.kind().objectiveMs;
                                count(request, inTime ? tally -> tally.inTime++ : tally -> tally.late++);
                                earned += (inTime ? 1 : LATE_WORTH) * worthBySize(request);
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

    private void count(Request request, Consumer<Tally> counted) {
        counted.accept(of(request.kind()));
        counted.accept(of(request.customer()));
        if (request.large()) {
            counted.accept(ofLargest(request.kind()));
        }
    }

    @Override
    public String toString() {
        return "worth " + worth() + ", by size " + worthBySize() + ", read again " + rereadTokens() + " of "
                + readTokens() + ", fetched " + fetchedTokens() + ", " + tallies + ", largest " + largest + ", "
                + byCustomer;
    }

    /** Requests in all, second tries not counted. */
    long asked() {
        return tallies.values().stream().mapToLong(tally -> tally.asked).sum();
    }

    /** How often the arbiter looked for a target. */
    long choices() {
        return arbiter.choices();
    }

    /** Tokens that the engines have read in all. */
    long readTokens() {
        return engines.values().stream().mapToLong(engine -> engine.readTokens).sum();
    }

    /** Tokens that engines have fetched from one another. */
    long fetchedTokens() {
        return engines.values().stream()
                .mapToLong(engine -> engine.fetchedTokens)
                .sum();
    }

    /** Of these, tokens of shared parts that an engine had read before. */
    long rereadTokens() {
        return engines.values().stream()
                .mapToLong(engine -> engine.rereadTokens)
                .sum();
    }
}
