package org.marjoramswitch.kernel.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.settings.FleetSettings;

/**
 * Validates and merges a complete tree of drafts, independently of what is already accepted. Used by the command-line
 * tool to check drafts before writing them, and for settings that come from a file.
 */
public final class SettingsMerger {
    private SettingsMerger() {}

    /** @param jsonByKey the drafts by their keys, {@code settings/<team>/<document>} */
    public static Result merge(Map<String, String> jsonByKey, long generation) {
        List<SettingsFault> faults = new ArrayList<>();
        SortedMap<String, SortedMap<String, JsonNode>> documentsByTeam = new TreeMap<>();
        new TreeMap<>(jsonByKey).forEach((key, json) -> read(key, json, documentsByTeam, faults));
        List<TeamSettings> teams = documentsByTeam.entrySet().stream()
                .map(team -> TeamReader.read(team.getKey(), team.getValue()))
                .toList();
        for (Conflict conflict : ConflictFinder.find(teams)) {
            faults.addAll(ConflictFaults.forAll(conflict));
        }
        return faults.isEmpty() ? new Merged(AcceptedTree.merge(generation, teams)) : new Refused(List.copyOf(faults));
    }

    private static void read(
            String key,
            String json,
            SortedMap<String, SortedMap<String, JsonNode>> documentsByTeam,
            List<SettingsFault> faults) {
        Draft draft = Draft.of(key, json, 0);
        if (draft == null) {
            faults.add(new SettingsFault("", key, "", ErrorType.SETTINGS_INVALID, "not a key of a team's document"));
            return;
        }
        DocumentParser.Result result = DocumentParser.parse(draft);
        if (result instanceof DocumentParser.Faulty faulty) {
            faults.addAll(faulty.faults());
            return;
        }
        DocumentParser.Parsed parsed = (DocumentParser.Parsed) result;
        documentsByTeam.computeIfAbsent(draft.team(), team -> new TreeMap<>()).put(draft.document(), parsed.root());
    }

    /** The result of a merge. */
    public sealed interface Result {}

    /** The drafts are valid. */
    public record Merged(FleetSettings settings) implements Result {}

    /** The drafts are invalid; {@code faults} lists every fault found. */
    public record Refused(List<SettingsFault> faults) implements Result {}
}
