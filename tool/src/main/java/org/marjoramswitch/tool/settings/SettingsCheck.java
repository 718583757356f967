package org.marjoramswitch.tool.settings;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.marjoramswitch.kernel.configuration.SettingsFault;
import org.marjoramswitch.kernel.configuration.SettingsMerger;

/** Checks a document as the acceptors do, merged with the drafts of all teams. */
public final class SettingsCheck {
    private SettingsCheck() {}

    /**
     * Faults of the drafts including the document.
     *
     * @param ownFaults faults of the document's own team; any of them causes the team's drafts to be rejected
     * @param otherFaults faults of other teams, which do not prevent this team's drafts from being accepted
     */
    public record Result(List<SettingsFault> ownFaults, List<SettingsFault> otherFaults) {}

    /** @param draftsByKey the stored drafts of all teams; the document replaces its own draft, if there is one */
    public static Result run(Map<String, String> draftsByKey, DocumentName name, ObjectNode document) {
        Map<String, String> tree = new TreeMap<>(draftsByKey);
        tree.put(name.key(), document.toString());
        if (SettingsMerger.merge(tree, 1) instanceof SettingsMerger.Refused refused) {
            return new Result(
                    refused.faults().stream()
                            .filter(fault -> fault.team().equals(name.team()))
                            .toList(),
                    refused.faults().stream()
                            .filter(fault -> !fault.team().equals(name.team()))
                            .toList());
        }
        return new Result(List.of(), List.of());
    }
}
