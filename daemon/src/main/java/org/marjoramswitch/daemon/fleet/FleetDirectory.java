package org.marjoramswitch.daemon.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.caller.InstanceDirectory;
import org.marjoramswitch.daemon.platform.FleetList.ListedInstance;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.FleetView;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.Member;

/**
 * Joins what an instance learns of the others from three sides: the membership says who is alive, the platform's list
 * where callers connect and who is about to be taken away, and a link's handshake the incarnation of its other end.
 *
 * <p>The list lags and may be missing, so it adds and removes no member. An instance without a listed address serves
 * its peers and is only left out of address answers.
 */
public final class FleetDirectory implements InstanceDirectory {
    private final InstanceId self;
    private final Consumer<FleetView> onView;
    private final LoadFactor loadFactor;
    private final Map<InstanceId, Long> provedIncarnations = new HashMap<>();
    private HostPort selfCallers;
    private Map<InstanceId, ListedInstance> listed = Map.of();
    private FleetView members;
    private FleetView view;
    private boolean told;

    private FleetDirectory(Member self, HostPort selfCallers, LoadFactor loadFactor, Consumer<FleetView> onView) {
        this.self = self.id();
        this.selfCallers = selfCallers;
        this.loadFactor = loadFactor;
        this.onView = onView;
        this.members = FleetView.of(List.of(self));
        this.view = members;
    }

    /** @param onView told of each change, in order */
    public static FleetDirectory of(
            Member self, HostPort selfCallers, LoadFactor loadFactor, Consumer<FleetView> onView) {
        return new FleetDirectory(self, selfCallers, loadFactor, onView);
    }

    /** Where this instance's own callers connect, once the port is known. */
    public synchronized void setSelfCallers(HostPort address) {
        selfCallers = address;
    }

    /** The platform's newest list. */
    public synchronized void setListed(Map<InstanceId, ListedInstance> instances) {
        listed = Map.copyOf(instances);
        publish();
    }

    /** The membership's newest view. */
    public synchronized void setMembers(FleetView newest) {
        members = newest;
        provedIncarnations.keySet().retainAll(newest.members().keySet());
        publish();
    }

    /**
     * A link's handshake proved the peer's incarnation. It may come before the membership's news of a restart, and what
     * the link brings then must not be taken for the older incarnation's.
     */
    public synchronized void setIncarnation(InstanceId peer, long incarnation) {
        if (provedIncarnations.merge(peer, incarnation, Math::max) == incarnation) {
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

    @Override
    public synchronized @Nullable HostPort address(InstanceId instance) {
        if (instance.equals(self)) {
            return selfCallers;
        }
        ListedInstance known = listed.get(instance);
        return known == null ? null : known.callers();
    }

    @Override
    public double loadFactor(CustomerId customer) {
        return loadFactor.of(customer, view().eligible());
    }

    /** How many instances' worth of work a customer brings. */
    @FunctionalInterface
    public interface LoadFactor {
        double of(CustomerId customer, List<InstanceId> eligible);
    }

    private void publish() {
        FleetView next = FleetView.of(
                members.members().values().stream().map(this::joined).toList());
        // The first view is told even where it holds this instance alone: the duties that take part by their place in
        // the view begin with it, and a fleet of one instance would otherwise never have settings.
        if (!told || !next.equals(view)) {
            told = true;
            view = next;
            onView.accept(next);
        }
    }

    private Member joined(Member member) {
        ListedInstance known = listed.get(member.id());
        boolean leaving = member.leaving() || (known != null && known.leaving());
        long incarnation =
                Math.max(member.incarnation(), provedIncarnations.getOrDefault(member.id(), member.incarnation()));
        return new Member(member.id(), incarnation, member.dataCentre(), leaving, member.processorMillicores());
    }
}
