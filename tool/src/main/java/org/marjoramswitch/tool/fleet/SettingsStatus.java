package org.marjoramswitch.tool.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.marjoramswitch.kernel.configuration.AcceptedHead;
import org.marjoramswitch.kernel.configuration.Refusal;
import org.marjoramswitch.kernel.configuration.SettingsFault;
import org.marjoramswitch.tool.settings.SettingsView;
import org.marjoramswitch.tool.settings.SettingsView.UnavailableException;

/**
 * Status of the settings: what is accepted, in force, pending and rejected.
 *
 * @param acceptedGeneration the latest accepted generation; 0 before the first
 * @param pending documents with a later revision than the accepted generation has considered
 * @param refused faults for which drafts were rejected
 */
public record SettingsStatus(
        long acceptedGeneration, List<InstanceStatus> instances, List<String> pending, List<SettingsFault> refused) {

    public static SettingsStatus read(SettingsView view, List<InstanceStatus> instances) throws UnavailableException {
        AcceptedHead head = view.head();
        List<SettingsFault> refused = new ArrayList<>();
        view.refusals().forEach((team, json) -> {
            Refusal refusal = Refusal.parse(team, json);
            if (refusal != null) {
                refused.addAll(refusal.faults());
            }
        });
        Map<String, Long> considered = head == null ? Map.of() : head.revisionByTeam();
        List<String> pending = view.list("").stream()
                .filter(listed -> listed.modRevision() > considered.getOrDefault(teamOf(listed.document()), 0L))
                .map(SettingsView.Listed::document)
                .toList();
        return new SettingsStatus(head == null ? 0 : head.generation(), instances, pending, refused);
    }

    /** Whether all documents are accepted and in force on every reachable instance. */
    public boolean isSettled() {
        return refused.isEmpty()
                && pending.isEmpty()
                && instances.stream()
                        .filter(InstanceStatus::reachable)
                        .allMatch(instance -> instance.generation() == acceptedGeneration);
    }

    private static String teamOf(String document) {
        return document.substring(0, document.indexOf('/'));
    }
}
