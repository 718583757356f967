package org.marjoramswitch.daemon.fleet;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.caller.InstanceDirectory;
import org.marjoramswitch.daemon.platform.FleetList.ListedInstance;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.kernel.addresses.SelectionOptions;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.FleetView;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.Member;

/**
 * Combines an instance's knowledge of the others from three sources: the membership provides the live instances, the
 * platform's list the addresses for callers and the instances about to be removed, and a link's handshake the
 * incarnation of its peer.
 *
 * <p>The list lags and may be missing, so it neither adds nor removes members. An instance without a listed address
 * still serves its peers and is only omitted from address responses.
 */
public final class FleetDirectory implements InstanceDirectory {
    private final InstanceId self;
    private final Consumer<FleetView> onView;
    private final LoadFactor loadFactor;
    private final AddressResponses responses;
    private final Map<InstanceId, Long> verifiedIncarnations = new HashMap<>();
    private HostPort selfCallers;
    private Map<InstanceId, ListedInstance> listed = Map.of();
    private FleetView members;
    private FleetView view;
    private boolean published;

    private FleetDirectory(
            Member self,
            HostPort selfCallers,
            LoadFactor loadFactor,
            AddressResponses responses,
            Consumer<FleetView> onView) {
        this.self = self.id();
        this.selfCallers = selfCallers;
        this.loadFactor = loadFactor;
        this.responses = responses;
        this.onView = onView;
        this.members = FleetView.of(List.of(self));
        this.view = members;
    }

    /**
     * Creates a directory that knows only its own instance.
     *
     * @param selection where the addresses for callers come from
     * @param onView receives each changed view, in order
     */
    public static FleetDirectory of(
            Member self, HostPort selfCallers, LoadFactor loadFactor, Selection selection, Consumer<FleetView> onView) {
        AddressResponses responses = AddressResponses.create(
                selection.options(), selection.incompleteHeadroom(), selection.clockMs(), selection.metrics());
        return new FleetDirectory(self, selfCallers, loadFactor, responses, onView);
    }

    /** Sets the address to which this instance's callers connect, once the port is entry. */
    public synchronized void setSelfCallers(HostPort address) {
        selfCallers = address;
        responses.membersChanged();
    }

    /** Replaces the platform's list. */
    public synchronized void setListed(Map<InstanceId, ListedInstance> instances) {
        listed = Map.copyOf(instances);
        responses.membersChanged();
        publish();
    }

    /** Replaces the membership's view. */
    public synchronized void setMembers(FleetView newest) {
        members = newest;
        verifiedIncarnations.keySet().retainAll(newest.members().keySet());
        publish();
    }

    /**
     * Records the incarnation of a peer that a link's handshake has verified. This may happen before the membership
     * reports a restart, and messages on the link must not be attributed to the previous incarnation.
     */
    public synchronized void setIncarnation(InstanceId peer, long incarnation) {
        if (verifiedIncarnations.merge(peer, incarnation, Math::max) == incarnation) {
            publish();
        }
    }

    public synchronized FleetView view() {
        return view;
    }

    @Override
    public synchronized List<Entry> eligible() {
        List<Entry> entries = new ArrayList<>();
        for (Member member : view.members().values()) {
            HostPort address = address(member.id());
            if (!member.leaving() && address != null) {
                entries.add(new Entry(member.id(), member.incarnation(), address));
            }
        }
        return entries;
    }

    /** Selects the addresses to list in a response to a caller in this data centre; empty if none is eligible. */
    public synchronized List<HostPort> select(DataCentreId callers) {
        List<HostPort> addresses = new ArrayList<>();
        int local = 0;
        for (InstanceId id : responses.select(this::eligibleMembers, callers)) {
            HostPort address = address(id);
            Member member = view.member(id);
            if (address != null && member != null) {
                addresses.add(address);
                local += member.dataCentre().equals(callers) ? 1 : 0;
            }
        }
        responses.countListed(addresses.size(), local);
        return addresses;
    }

    private List<Member> eligibleMembers() {
        return view.members().values().stream()
                .filter(member -> !member.leaving() && address(member.id()) != null)
                .toList();
    }

    @Override
    public synchronized @Nullable HostPort address(InstanceId instance) {
        if (instance.equals(self)) {
            return selfCallers;
        }
        ListedInstance entry = listed.get(instance);
        return entry == null ? null : entry.callers();
    }

    @Override
    public double loadFactor(CustomerId customer) {
        return loadFactor.of(customer, view().eligible());
    }

    /**
     * Options and inputs of the selection of addresses.
     *
     * @param incompleteHeadroom the headroom of those instances for which it is known to be below 100%
     */
    public record Selection(
            SelectionOptions options,
            Supplier<Map<InstanceId, Integer>> incompleteHeadroom,
            LongSupplier clockMs,
            MetricRegistry metrics) {}

    /** Computes over how many instances a customer's work should be spread. */
    @FunctionalInterface
    public interface LoadFactor {
        double of(CustomerId customer, List<InstanceId> eligible);
    }

    private void publish() {
        FleetView next = FleetView.of(
                        members.members().values().stream().map(this::merged).toList())
                .withAwaited(members.awaited());
        // The first view is published even if it holds this instance alone: the loops whose role depends on the
        // position in the view start with it, and a fleet of one instance would otherwise never have settings.
        if (!published || !next.equals(view)) {
            published = true;
            view = next;
            responses.membersChanged();
            onView.accept(next);
        }
    }

    private Member merged(Member member) {
        ListedInstance entry = listed.get(member.id());
        boolean leaving = member.leaving() || (entry != null && entry.leaving());
        long incarnation =
                Math.max(member.incarnation(), verifiedIncarnations.getOrDefault(member.id(), member.incarnation()));
        return new Member(member.id(), incarnation, member.dataCentre(), leaving, member.processorMillicores());
    }
}
