package org.marjoramswitch.kernel.membership;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.Member;

/**
 * Counts the instances that may be alive although they are not in the view: each one for {@value #MAX_AWAITED_MS} ms
 * after its process was listed, and, for as long after the start and the first list, unknown ones until the list names
 * this process. A list without it is older than its registration, so it may lack others that have started at the same
 * time; the entry of an earlier process of this instance says nothing.
 */
final class AwaitedInstances {
    /** Exceeds the time after which an instance that has just started watches the list by itself. */
    private static final long MAX_AWAITED_MS = 5_000;

    private final Member self;
    private final Map<InstanceId, Awaited> awaited = new TreeMap<>();
    private long unknownUntilMs;
    private boolean isListRead;
    private boolean isListed;

    private AwaitedInstances(Member self) {
        this.self = self;
    }

    static AwaitedInstances create(Member self) {
        return new AwaitedInstances(self);
    }

    void start(long nowMs) {
        unknownUntilMs = nowMs + MAX_AWAITED_MS;
    }

    /** Replaces the listed instances. */
    void listed(Map<InstanceId, ListedInstance> instances, long nowMs) {
        ListedInstance own = instances.get(self.id());
        isListed |= own != null && isOwnProcess(own);
        if (!isListRead) {
            isListRead = true;
            unknownUntilMs = nowMs + MAX_AWAITED_MS;
        }
        awaited.keySet().retainAll(instances.keySet());
        instances.forEach((id, instance) -> {
            Awaited known = awaited.get(id);
            boolean isNew = known == null || known.incarnation != instance.incarnation();
            if (isNew && !id.equals(self.id())) {
                awaited.put(id, new Awaited(instance.incarnation(), nowMs + MAX_AWAITED_MS));
            }
        });
    }

    private boolean isOwnProcess(ListedInstance own) {
        return own.incarnation() == self.incarnation() || own.incarnation() == ListedInstance.UNKNOWN_INCARNATION;
    }

    /** Extends the times by a pause of this instance, in which it could not receive. */
    void postpone(long pauseMs) {
        unknownUntilMs += pauseMs;
        awaited.replaceAll((id, known) -> new Awaited(known.incarnation, known.untilMs + pauseMs));
    }

    /** @param isPresent whether the instance is in the view */
    int count(Predicate<InstanceId> isPresent, long nowMs) {
        long absent = awaited.entrySet().stream()
                .filter(entry -> nowMs < entry.getValue().untilMs && !isPresent.test(entry.getKey()))
                .count();
        return (int) absent + (!isListed && nowMs < unknownUntilMs ? 1 : 0);
    }

    private record Awaited(long incarnation, long untilMs) {}
}
