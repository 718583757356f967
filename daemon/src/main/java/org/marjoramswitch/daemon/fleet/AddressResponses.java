package org.marjoramswitch.daemon.fleet;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.kernel.addresses.AddressSelector;
import org.marjoramswitch.kernel.addresses.Candidate;
import org.marjoramswitch.kernel.addresses.SelectionOptions;
import org.marjoramswitch.kernel.addresses.SelectionState;
import org.marjoramswitch.kernel.membership.MemberUpdate;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.Member;

/**
 * Supplies the {@link AddressSelector} with the present members and headroom when a query needs it. An instance that
 * receives no queries does no work for it. Not thread-safe.
 *
 * <p>Metrics: {@code addresses.queries}, {@code addresses.listed}, {@code addresses.listed_local} (in the caller's data
 * centre), {@code addresses.without_headroom}.
 */
final class AddressResponses {
    private static final KeyValueLog LOG = KeyValueLog.of(AddressResponses.class);
    /** How often the membership renews the headroom; an older selection is renewed. */
    private static final long MAX_AGE_MS = 500;

    private final AddressSelector selector;
    private final Supplier<Map<InstanceId, Integer>> incompleteHeadroom;
    private final LongSupplier clockMs;
    private final Counter queries;
    private final Counter listed;
    private final Counter listedLocal;
    private volatile int withoutHeadroom;
    private boolean stale = true;
    private long updatedMs;
    private SelectionState loggedState = SelectionState.INACTIVE;

    private AddressResponses(
            SelectionOptions options,
            Supplier<Map<InstanceId, Integer>> incompleteHeadroom,
            LongSupplier clockMs,
            MetricRegistry metrics) {
        this.selector = AddressSelector.create(options);
        this.incompleteHeadroom = incompleteHeadroom;
        this.clockMs = clockMs;
        this.queries = metrics.counter("addresses.queries");
        this.listed = metrics.counter("addresses.listed");
        this.listedLocal = metrics.counter("addresses.listed_local");
        metrics.gauge("addresses.without_headroom", () -> () -> withoutHeadroom);
    }

    /** @param incompleteHeadroom the headroom of those instances for which it is known to be below 100% */
    static AddressResponses create(
            SelectionOptions options,
            Supplier<Map<InstanceId, Integer>> incompleteHeadroom,
            LongSupplier clockMs,
            MetricRegistry metrics) {
        return new AddressResponses(options, incompleteHeadroom, clockMs, metrics);
    }

    /** Makes the next query use the members that are present then. */
    void membersChanged() {
        stale = true;
    }

    /** @param eligible supplies the members that may be listed; called only if the selection must be renewed */
    List<InstanceId> select(Supplier<Collection<Member>> eligible, DataCentreId callers) {
        long nowMs = clockMs.getAsLong();
        if (stale || nowMs - updatedMs >= MAX_AGE_MS) {
            update(eligible.get(), nowMs);
        }
        queries.inc();
        return selector.select(callers, ThreadLocalRandom.current());
    }

    /** Counts the addresses of a response. */
    void countListed(int addresses, int local) {
        listed.inc(addresses);
        listedLocal.inc(local);
    }

    private void update(Collection<Member> eligible, long nowMs) {
        stale = false;
        updatedMs = nowMs;
        Map<InstanceId, Integer> headroom = incompleteHeadroom.get();
        selector.update(
                eligible.stream()
                        .map(member -> new Candidate(
                                member.id(),
                                member.dataCentre(),
                                member.processorMillicores(),
                                headroom.getOrDefault(member.id(), MemberUpdate.FULL_HEADROOM)))
                        .toList(),
                nowMs);
        withoutHeadroom = selector.withoutHeadroom();
        if (selector.state() != loggedState) {
            loggedState = selector.state();
            LOG.info(
                    "address_selection",
                    "state",
                    loggedState,
                    "eligible",
                    eligible.size(),
                    "withoutHeadroom",
                    withoutHeadroom);
        }
    }
}
