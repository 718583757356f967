package org.marjoramswitch.kernel.model;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/** The instances that one instance considers alive, including itself and draining ones. */
public record FleetView(Map<InstanceId, Member> members) {
    public static FleetView of(Collection<Member> members) {
        TreeMap<InstanceId, Member> byId = new TreeMap<>();
        members.forEach(member -> byId.put(member.id(), member));
        return new FleetView(java.util.Collections.unmodifiableMap(byId));
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
