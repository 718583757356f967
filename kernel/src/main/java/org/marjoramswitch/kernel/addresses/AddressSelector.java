package org.marjoramswitch.kernel.addresses;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.Member;

/**
 * Selects the instances that an address response lists.
 *
 * <p><b>Idea.</b> Callers choose uniformly among the addresses of a response and keep it for some seconds. A response
 * is therefore a subset that is drawn anew for each query, in which each instance occurs in proportion to its weight:
 * its stated processor times its headroom ({@link WeightedDraw}). Instances without headroom do not occur. First the
 * share that the caller's data centre can carry ({@link LocalShare}) is drawn from it, then the rest from the others.
 *
 * <p><b>Bounds on concentration.</b> Headroom is old by some seconds, so instances that look idle must not attract all
 * callers. Once less than half of the instances, or of the capacity, have headroom, all count by capacity alone, so that
 * at worst an instance gets twice the load of a selection by capacity. And no instance counts with more than {@value
 * #MAX_PREFERENCE} times the mean headroom.
 *
 * <p><b>Activity.</b> Where all eligible instances fit in a response and the largest processor is less than twice the
 * smallest, the response lists all of them in the given order.
 *
 * <p><b>Cost.</b> An update takes time in proportion to the instances times the data centres, if something changed; a
 * selection takes time in proportion to the instances. Not thread-safe.
 */
public final class AddressSelector {
    /** Ratio of the stated processors from which on the selection is active. */
    private static final int MIN_PROCESSOR_RATIO = 2;
    /** Where instances are left out, the others get at most this multiple of their load in a selection by capacity. */
    private static final double MAX_CONCENTRATION = 2;
    /**
     * As {@link #MAX_CONCENTRATION} within a data centre: a fifth of its capacity may be left out before callers cross
     * to other data centres. With a larger value, the remaining instances are overloaded at the usual loads.
     */
    private static final double MAX_LOCAL_CONCENTRATION = 1.25;
    /**
     * An instance with headroom is preferred at most this much to the mean of them. Without this bound, a load near the
     * capacity moves back and forth between instances that have overloaded each other and are recovering.
     */
    private static final double MAX_PREFERENCE = 1.25;
    /** The bound on the headroom is a fixed point; each step at least halves the distance in the usual cases. */
    private static final int FIXED_POINT_STEPS = 16;

    private final int maxAddresses;
    private final boolean enabled;
    private final Map<DataCentreId, LocalShare> localShares = new HashMap<>();
    private Set<InstanceId> usable = Set.of();
    /** Instances that have lost their headroom since the previous update. */
    private Set<InstanceId> exhausted = Set.of();

    private Map<DataCentreId, ResponsePlan> plans = Map.of();
    private ResponsePlan planWithoutDataCentre;
    private List<Candidate> candidates = List.of();
    private List<InstanceId> inOrder = List.of();
    private SelectionState state = SelectionState.INACTIVE;
    private int withoutHeadroom;
    private long updatedMs;

    private AddressSelector(SelectionOptions options) {
        this.maxAddresses = options.maxAddresses();
        this.enabled = options.enabled();
        this.planWithoutDataCentre = plan(List.of(), one -> false, 0);
    }

    public static AddressSelector create(SelectionOptions options) {
        return new AddressSelector(options);
    }

    public SelectionState state() {
        return state;
    }

    /** Returns how many of the eligible instances have no headroom. */
    public int withoutHeadroom() {
        return withoutHeadroom;
    }

    /** Returns the share of its callers that a data centre can carry, as far as known. */
    public double localShare(DataCentreId dataCentre) {
        LocalShare share = localShares.get(dataCentre);
        return share == null ? 1 : share.value();
    }

    /** Replaces the eligible instances and their headroom. */
    public void update(List<Candidate> eligible, long nowMs) {
        long elapsedMs = Math.max(0, nowMs - updatedMs);
        updatedMs = nowMs;
        boolean isSteady = localShares.values().stream().allMatch(LocalShare::isComplete);
        if (isSteady && eligible.equals(candidates)) {
            return;
        }
        candidates = List.copyOf(eligible);
        inOrder = eligible.stream().map(Candidate::id).limit(maxAddresses).toList();
        withoutHeadroom = (int) eligible.stream()
                .filter(candidate -> candidate.headroomPercent() <= 0)
                .count();
        if (!enabled || !isActive(eligible)) {
            state = SelectionState.INACTIVE;
            return;
        }
        List<Weighted> weighted = weighted(eligible);
        state = mostHaveHeadroom(weighted) ? SelectionState.BY_HEADROOM : SelectionState.BY_CAPACITY;
        updateExhausted(weighted);
        updatePlans(weighted, elapsedMs);
    }

    private void updateExhausted(List<Weighted> weighted) {
        Set<InstanceId> nowUsable = new HashSet<>();
        Set<InstanceId> nowExhausted = new HashSet<>();
        for (Weighted one : weighted) {
            if (one.isUsable()) {
                nowUsable.add(one.id());
            } else if (usable.contains(one.id())) {
                nowExhausted.add(one.id());
            }
        }
        usable = nowUsable;
        exhausted = nowExhausted;
    }

    /** Selects the instances to list; empty only if no instance is eligible. */
    public List<InstanceId> select(DataCentreId callers, RandomGenerator random) {
        if (state == SelectionState.INACTIVE) {
            return inOrder;
        }
        return plans.getOrDefault(callers, planWithoutDataCentre).draw(random);
    }

    private boolean isActive(List<Candidate> eligible) {
        if (eligible.size() > maxAddresses) {
            return true;
        }
        int smallest = Integer.MAX_VALUE;
        int largest = 0;
        for (Candidate candidate : eligible) {
            int millicores = candidate.processorMillicores();
            if (millicores != Member.UNKNOWN_PROCESSOR) {
                smallest = Math.min(smallest, millicores);
                largest = Math.max(largest, millicores);
            }
        }
        return largest > 0 && largest >= (long) MIN_PROCESSOR_RATIO * smallest;
    }

    private static List<Weighted> weighted(List<Candidate> eligible) {
        double mean = eligible.stream()
                .mapToInt(Candidate::processorMillicores)
                .filter(millicores -> millicores != Member.UNKNOWN_PROCESSOR)
                .average()
                .orElse(1);
        List<Weighted> weighted = new ArrayList<>(eligible.size());
        for (Candidate candidate : eligible) {
            boolean known = candidate.processorMillicores() != Member.UNKNOWN_PROCESSOR;
            double headroom = candidate.headroomPercent() / (double) HeadroomRamp.FULL_PERCENT;
            weighted.add(new Weighted(candidate, known ? candidate.processorMillicores() : mean, headroom));
        }
        return weighted;
    }

    private static boolean mostHaveHeadroom(List<Weighted> weighted) {
        long usable = weighted.stream().filter(Weighted::isUsable).count();
        return MAX_CONCENTRATION * usable >= weighted.size()
                && MAX_CONCENTRATION * capacityShare(weighted, one -> true, Weighted::isUsable) >= 1;
    }

    private void updatePlans(List<Weighted> weighted, long elapsedMs) {
        double bound = state == SelectionState.BY_HEADROOM ? headroomBound(weighted) : 0;
        Map<DataCentreId, ResponsePlan> next = new LinkedHashMap<>();
        for (Weighted one : weighted) {
            DataCentreId dataCentre = one.candidate().dataCentre();
            if (!next.containsKey(dataCentre)) {
                next.put(dataCentre, plan(weighted, dataCentre, bound, elapsedMs));
            }
        }
        plans = next;
        planWithoutDataCentre = plan(weighted, one -> false, bound);
        localShares.keySet().retainAll(next.keySet());
    }

    private ResponsePlan plan(List<Weighted> weighted, DataCentreId dataCentre, double bound, long elapsedMs) {
        Predicate<Weighted> isLocal = one -> one.candidate().dataCentre().equals(dataCentre);
        LocalShare share = localShares.computeIfAbsent(dataCentre, key -> new LocalShare());
        share.update(
                capacityShare(weighted, isLocal, one -> exhausted.contains(one.id())),
                meanHeadroom(weighted, isLocal.and(Weighted::isUsable)),
                meanHeadroom(weighted, isLocal.negate().and(Weighted::isUsable)),
                elapsedMs);
        if (bound <= 0) {
            return plan(weighted, isLocal, bound, share.value());
        }
        double ceiling = MAX_LOCAL_CONCENTRATION * capacityShare(weighted, isLocal, Weighted::isUsable);
        return plan(weighted, isLocal, bound, Math.min(share.value(), ceiling));
    }

    private ResponsePlan plan(List<Weighted> weighted, Predicate<Weighted> isLocal, double bound) {
        return plan(weighted, isLocal, bound, 0);
    }

    private ResponsePlan plan(List<Weighted> weighted, Predicate<Weighted> isLocal, double bound, double localShare) {
        return ResponsePlan.of(
                draw(weighted, isLocal, bound), draw(weighted, isLocal.negate(), bound), localShare, maxAddresses);
    }

    private static WeightedDraw draw(List<Weighted> weighted, Predicate<Weighted> filter, double bound) {
        return WeightedDraw.of(weighted.stream()
                .filter(filter)
                .map(one -> new WeightedDraw.Item(one.candidate().id(), one.capacity(), one.weight(bound)))
                .toList());
    }

    private static double capacityShare(
            List<Weighted> weighted, Predicate<Weighted> filter, Predicate<Weighted> counted) {
        double capacity = 0;
        double sum = 0;
        for (Weighted one : weighted) {
            if (filter.test(one)) {
                capacity += one.capacity();
                sum += counted.test(one) ? one.capacity() : 0;
            }
        }
        return capacity > 0 ? sum / capacity : 0;
    }

    private static double meanHeadroom(List<Weighted> weighted, Predicate<Weighted> filter) {
        double capacity = 0;
        double available = 0;
        for (Weighted one : weighted) {
            if (filter.test(one)) {
                capacity += one.capacity();
                available += one.capacity() * one.headroom();
            }
        }
        return capacity > 0 ? available / capacity : 0;
    }

    /** Returns the largest headroom that exceeds the mean of those with headroom by the permitted factor at most. */
    private static double headroomBound(List<Weighted> weighted) {
        double capacity = weighted.stream()
                .filter(Weighted::isUsable)
                .mapToDouble(Weighted::capacity)
                .sum();
        double bound = 1;
        for (int i = 0; i < FIXED_POINT_STEPS; i++) {
            double available = 0;
            for (Weighted one : weighted) {
                available += one.weight(bound);
            }
            bound = Math.min(bound, MAX_PREFERENCE * available / capacity);
        }
        return bound;
    }

    private record Weighted(Candidate candidate, double capacity, double headroom) {
        InstanceId id() {
            return candidate.id();
        }

        boolean isUsable() {
            return headroom > 0;
        }

        /** @param bound largest headroom that counts; 0 if headroom does not count at all */
        double weight(double bound) {
            return bound > 0 ? capacity * Math.min(headroom, bound) : capacity;
        }
    }
}
