package org.marjoramswitch.kernel.model;

import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * The instances that one instance considers alive, including itself and draining ones.
 *
 * @param awaited number of further instances that may be alive, since they are listed and it is too early to tell
 */
public record FleetView(Map<InstanceId, Member> members, int awaited) {
    /** A view in which no further instances are awaited. */
    public static FleetView of(Collection<Member> members) {
        TreeMap<InstanceId, Member> byId = new TreeMap<>();
        members.forEach(member -> byId.put(member.id(), member));
        return new FleetView(Collections.unmodifiableMap(byId), 0);
    }

    /** The same members with this number of awaited instances. */
    public FleetView withAwaited(int count) {
        return new FleetView(members, count);
    }

    public @Nullable Member member(InstanceId id) {
        return members.get(id);
    }

    /** Returns the instances that may become arbiters and receive new callers, in the order of their ids. */
    public List<InstanceId> eligible() {
        return members.values().stream()
                .filter(member -> !member.leaving())
                .map(Member::id)
                .toList();
    }
}
