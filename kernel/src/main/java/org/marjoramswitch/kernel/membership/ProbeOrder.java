package org.marjoramswitch.kernel.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;

/**
 * Selects the members to probe: in each round every member once, in random order. A member is probed at least once in
 * two rounds, which independent random choices would not guarantee.
 */
final class ProbeOrder {
    private final SplittableRandom random;
    private final List<MemberEntry> round = new ArrayList<>();

    ProbeOrder(SplittableRandom random) {
        this.random = random;
    }

    /** Returns the next member that is alive, or null if there is none. */
    @Nullable
    MemberEntry next(MemberTable table) {
        if (round.isEmpty()) {
            round.addAll(table.alive());
        }
        while (!round.isEmpty()) {
            MemberEntry entry = removeRandom(round);
            if (entry.status() == MemberStatus.ALIVE) {
                return entry;
            }
        }
        return null;
    }

    /** Returns up to {@code count} random members that are alive, other than {@code excluded}. */
    List<MemberEntry> sample(MemberTable table, int count, @Nullable MemberEntry excluded) {
        List<MemberEntry> candidates = table.alive();
        candidates.remove(excluded);
        List<MemberEntry> sample = new ArrayList<>();
        while (sample.size() < count && !candidates.isEmpty()) {
            sample.add(removeRandom(candidates));
        }
        return sample;
    }

    private MemberEntry removeRandom(List<MemberEntry> entries) {
        int last = entries.size() - 1;
        int index = random.nextInt(entries.size());
        MemberEntry removed = entries.get(index);
        entries.set(index, entries.get(last));
        entries.remove(last);
        return removed;
    }
}
