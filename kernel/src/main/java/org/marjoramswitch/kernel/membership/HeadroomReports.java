package org.marjoramswitch.kernel.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.marjoramswitch.kernel.model.InstanceId;

/**
 * The headroom that members have reported recently, where it is or was incomplete.
 *
 * <p>Two members exchange datagrams directly only once in half a minute at 350 instances. Each datagram therefore
 * carries a few of these reports, the newest first, so that a report reaches all members within some seconds. Reports
 * carry their age, and the newer one wins, because unlike a generation a headroom falls and rises. Members with full
 * headroom are not reported; an instance with admission control announces less than full headroom under any load.
 *
 * <p>A report expires if it is not renewed; the headroom is unknown then and counts as full.
 */
final class HeadroomReports {
    /** Several times the time in which a report reaches all members of a fleet of 350. */
    private static final long MAX_AGE_MS = 10_000;
    /** About 60 bytes in a datagram. */
    private static final int MAX_FORWARDED = 8;

    private static final int MAX_REPORTS = 1_024;

    private final Map<Integer, Report> byMember = new HashMap<>();

    /** Applies what a member said of itself. */
    void heardFromMember(InstanceId id, int percent, long nowMs) {
        int key = Datagram.HeadroomReport.key(id);
        Report known = byMember.get(key);
        // A report of full headroom is not renewed, so that it expires and is no longer sent.
        boolean isKnownFull = known == null || known.percent() >= MemberUpdate.FULL_HEADROOM;
        if (percent == MemberUpdate.UNKNOWN_HEADROOM || (percent >= MemberUpdate.FULL_HEADROOM && isKnownFull)) {
            return;
        }
        put(key, new Report(percent, nowMs));
    }

    /** Applies a report that another member forwarded. */
    void heardFromOther(Datagram.HeadroomReport report, long nowMs) {
        long measuredMs = nowMs - report.ageMs();
        Report known = byMember.get(report.memberKey());
        if (report.ageMs() < MAX_AGE_MS && (known == null || known.measuredMs() < measuredMs)) {
            put(report.memberKey(), new Report(report.percent(), measuredMs));
        }
    }

    /** Applies a value of unknown age, which any recent report overrides. */
    void heardWithoutAge(InstanceId id, int percent, long nowMs) {
        if (percent != MemberUpdate.UNKNOWN_HEADROOM) {
            heardFromOther(
                    new Datagram.HeadroomReport(Datagram.HeadroomReport.key(id), percent, MAX_AGE_MS / 2), nowMs);
        }
    }

    private void put(int key, Report report) {
        if (byMember.size() < MAX_REPORTS || byMember.containsKey(key)) {
            byMember.put(key, report);
        }
    }

    /** Returns the reports to add to a datagram. */
    List<Datagram.HeadroomReport> toForward(long nowMs) {
        if (byMember.isEmpty()) {
            return List.of();
        }
        removeExpired(nowMs);
        List<Datagram.HeadroomReport> reports = new ArrayList<>(byMember.size());
        byMember.forEach((key, report) -> reports.add(
                new Datagram.HeadroomReport(key, report.percent(), Math.max(0, nowMs - report.measuredMs()))));
        reports.sort(Comparator.comparingLong(Datagram.HeadroomReport::ageMs));
        return List.copyOf(reports.subList(0, Math.min(MAX_FORWARDED, reports.size())));
    }

    /** Returns the headroom of those members for which it is known to be incomplete. */
    Map<InstanceId, Integer> incomplete(Collection<MemberEntry> members, long nowMs) {
        Map<InstanceId, Integer> incomplete = new TreeMap<>();
        if (byMember.isEmpty()) {
            return incomplete;
        }
        removeExpired(nowMs);
        for (MemberEntry member : members) {
            int percent = percent(member.id());
            if (percent != MemberUpdate.UNKNOWN_HEADROOM && percent < MemberUpdate.FULL_HEADROOM) {
                incomplete.put(member.id(), percent);
            }
        }
        return incomplete;
    }

    private int percent(InstanceId id) {
        Report report = byMember.get(Datagram.HeadroomReport.key(id));
        return report == null ? MemberUpdate.UNKNOWN_HEADROOM : report.percent();
    }

    private void removeExpired(long nowMs) {
        byMember.values().removeIf(report -> nowMs - report.measuredMs() >= MAX_AGE_MS);
    }

    private record Report(int percent, long measuredMs) {}
}
