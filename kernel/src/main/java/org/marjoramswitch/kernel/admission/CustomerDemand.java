package org.marjoramswitch.kernel.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One customer's requests by kind, and the part of its share that each kind gets.
 *
 * <p>Each kind keeps a quarter of its proportional part of the share. The rest goes to the kinds in order of tokens per
 * work, each up to what it offers, so that the share carries as many tokens as possible without starving a kind.
 */
final class CustomerDemand {
    /** Further kinds are counted together. */
    private static final int MAX_KINDS = 16;

    private static final String OTHER_KINDS = "";
    private static final double FLOOR_SHARE = 0.25;
    private static final double FAR_ABOVE_RATIO = 1.5;
    private static final double MEAN_GAIN = 0.1;
    private static final long INITIAL_WORK_US = 900;
    /** Requests come in bursts, so shares are kept over several of them. */
    private static final double SERVICE_WINDOW_MS = 1_000;

    private final Map<KindKey, KindDemand> kinds = new HashMap<>();
    private double meanTokens = 1;
    private double meanWorkUs = INITIAL_WORK_US;
    private final DecayingRate admittedWork = DecayingRate.over(SERVICE_WINDOW_MS);
    /** Work of connections that are to be served and have not been read yet. */
    private final DecayingRate expectedWork = DecayingRate.over(SERVICE_WINDOW_MS);

    private boolean aboveShare;
    private boolean farAboveShare;

    private record KindKey(String kind, boolean late) {}

    /** Returns the demand of the request's kind. */
    KindDemand kind(String name, boolean late) {
        KindKey key = new KindKey(name, late);
        KindDemand known = kinds.get(key);
        if (known != null) {
            return known;
        }
        KindKey bounded = kinds.size() < MAX_KINDS ? key : new KindKey(OTHER_KINDS, late);
        return kinds.computeIfAbsent(bounded, missing -> new KindDemand(late));
    }

    double tokensOf(AdmissionRequest request) {
        return request.tokens() < 0 ? meanTokens : request.tokens();
    }

    /** The mean of the requests that were read. */
    double meanTokens() {
        return meanTokens;
    }

    double workUsOf(AdmissionRequest request) {
        return request.workUs() < 0 ? meanWorkUs : request.workUs();
    }

    void recordMeans(double tokens, double workUs) {
        meanTokens += MEAN_GAIN * (tokens - meanTokens);
        meanWorkUs += MEAN_GAIN * (workUs - meanWorkUs);
    }

    /** A waiting connection of this customer is going to be served. */
    void expect(long nowMs) {
        expectedWork.add(meanWorkUs, nowMs);
    }

    /** A request was read, on a connection that was expected or on one that was kept. */
    void received(long nowMs) {
        expectedWork.add(-Math.min(meanWorkUs, SERVICE_WINDOW_MS * expectedWork.perMs(nowMs)), nowMs);
    }

    void admitted(double workUs, long nowMs) {
        admittedWork.add(workUs, nowMs);
    }

    /** The work that the customer was admitted, or is about to be, in thousandths of a core. */
    double servedMillicores(long nowMs) {
        return admittedWork.perMs(nowMs) + expectedWork.perMs(nowMs);
    }

    double offeredMillicores(long nowMs) {
        double sum = 0;
        for (KindDemand kind : kinds.values()) {
            sum += kind.offeredMillicores(nowMs);
        }
        return sum;
    }

    /** Whether the customer offers more than its share, so that some of its requests are rejected. */
    boolean isAboveShare() {
        return aboveShare;
    }

    /** Whether the customer offers considerably more than its share, as one whose callers stay with this instance. */
    boolean isFarAboveShare() {
        return aboveShare && farAboveShare;
    }

    void withinShare() {
        aboveShare = false;
    }

    /** Distributes the customer's share, which is below what it offers, over its kinds. */
    void limit(double shareMillicores, double offeredMillicores, long nowMs) {
        aboveShare = true;
        farAboveShare = offeredMillicores > FAR_ABOVE_RATIO * shareMillicores;
        double floorRatio = FLOOR_SHARE * shareMillicores / offeredMillicores;
        double left = (1 - FLOOR_SHARE) * shareMillicores;
        List<KindDemand> preferred = kinds.values().stream()
                .sorted(Comparator.comparingDouble((KindDemand kind) -> kind.preference(nowMs))
                        .reversed())
                .toList();
        for (KindDemand kind : preferred) {
            double offered = kind.offeredMillicores(nowMs);
            double floor = floorRatio * offered;
            double more = Math.min(left, offered - floor);
            left -= more;
            kind.allow(floor + more, nowMs);
        }
    }
}
