package org.marjoramswitch.daemon.configuration;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.daemon.platform.KeyValueStore;
import org.marjoramswitch.kernel.configuration.Refusal;
import org.marjoramswitch.kernel.configuration.SettingsFault;
import org.marjoramswitch.kernel.configuration.SettingsKeys;

/**
 * A pending write or deletion of a team's refusal.
 *
 * @param refusal the refusal to write; null to delete it because the drafts have been fixed
 * @param expectedRevisions the revisions of the refusal and of the team's drafts; without the drafts' revisions the
 *     write could report faults that the team has fixed in the meantime
 */
record RefusalWrite(String team, @Nullable Refusal refusal, Map<String, Long> expectedRevisions) {
    private static final long ABSENT = 0;

    /** Returns the writes that bring the stored refusals in line with the decision. */
    static List<RefusalWrite> plan(
            List<KeyValueStore.Entry> stored,
            SortedMap<String, List<SettingsFault>> faultsByTeam,
            SortedMap<String, SortedMap<String, Long>> draftRevisions) {
        SortedMap<String, KeyValueStore.Entry> storedByTeam = new TreeMap<>();
        stored.forEach(entry -> storedByTeam.put(entry.key().substring(SettingsKeys.REFUSALS.length()), entry));
        TreeSet<String> teams = new TreeSet<>(storedByTeam.keySet());
        teams.addAll(faultsByTeam.keySet());
        List<RefusalWrite> writes = new ArrayList<>();
        for (String team : teams) {
            SortedMap<String, Long> revisions = draftRevisions.getOrDefault(team, Collections.emptySortedMap());
            List<SettingsFault> faults = faultsByTeam.get(team);
            Refusal refusal = faults == null ? null : new Refusal(revisions, faults);
            KeyValueStore.Entry entry = storedByTeam.get(team);
            if (!isUpToDate(refusal, entry)) {
                writes.add(new RefusalWrite(team, refusal, expected(team, revisions, entry)));
            }
        }
        return writes;
    }

    private static boolean isUpToDate(@Nullable Refusal refusal, KeyValueStore.@Nullable Entry entry) {
        if (refusal == null || entry == null) {
            return refusal == null && entry == null;
        }
        return refusal.toJson().equals(entry.value());
    }

    private static Map<String, Long> expected(
            String team, SortedMap<String, Long> draftRevisions, KeyValueStore.@Nullable Entry entry) {
        Map<String, Long> expected = new TreeMap<>();
        draftRevisions.forEach((document, revision) -> expected.put(SettingsKeys.draft(team, document), revision));
        expected.put(SettingsKeys.refusal(team), entry == null ? ABSENT : entry.modRevision());
        return expected;
    }

    Map<String, String> puts() {
        return refusal == null ? Map.of() : Map.of(SettingsKeys.refusal(team), refusal.toJson());
    }

    List<String> deletes() {
        return refusal == null ? List.of(SettingsKeys.refusal(team)) : List.of();
    }

    /** Logs one line per fault, or one line if the refusal was deleted. */
    void log(KeyValueLog log) {
        if (refusal == null) {
            log.info("settings_refusal_cleared", "team", team);
            return;
        }
        for (SettingsFault fault : refusal.faults()) {
            log.warn(
                    "settings_refused",
                    "team",
                    team,
                    "document",
                    fault.document(),
                    "pointer",
                    fault.pointer(),
                    "type",
                    fault.type(),
                    "reason",
                    fault.detail());
        }
    }
}
