package org.marjoramswitch.kernel.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.marjoramswitch.kernel.error.ErrorType;

/** Converts a conflict into faults for the teams involved; each fault names the documents on the other side. */
final class ConflictFaults {
    private ConflictFaults() {}

    /** Returns a fault for each definition or target in the conflict. */
    static List<SettingsFault> forAll(Conflict conflict) {
        if (conflict instanceof Conflict.Duplicate duplicate) {
            return forDefinitions(duplicate, definition -> true);
        }
        return forTargets((Conflict.MissingPool) conflict, definition -> true);
    }

    /** Returns a fault for each definition that matches {@code responsible}. */
    static List<SettingsFault> forDefinitions(Conflict.Duplicate duplicate, Predicate<Definition> responsible) {
        List<SettingsFault> faults = new ArrayList<>();
        for (Definition definition : duplicate.definitions()) {
            if (responsible.test(definition)) {
                faults.add(fault(
                        definition,
                        ErrorType.SETTINGS_CONFLICT,
                        duplicate.name() + ", also in " + locations(without(definition, duplicate.definitions()))));
            }
        }
        return faults;
    }

    /** Returns a fault for each target that references the missing pool and matches {@code responsible}. */
    static List<SettingsFault> forTargets(Conflict.MissingPool missing, Predicate<Definition> responsible) {
        return missing.targets().stream()
                .filter(responsible)
                .map(target -> fault(
                        target, ErrorType.SETTINGS_UNKNOWN_POOL, missing.pool().name()))
                .toList();
    }

    /** Returns the fault of a team that would remove the pool. */
    static SettingsFault forRemover(Conflict.MissingPool missing, String team) {
        return new SettingsFault(
                team,
                "",
                "",
                ErrorType.SETTINGS_POOL_IN_USE,
                missing.pool() + ", named in " + locations(missing.targets()));
    }

    private static SettingsFault fault(Definition definition, ErrorType type, String detail) {
        return new SettingsFault(definition.team(), definition.document(), definition.pointer(), type, detail);
    }

    private static List<Definition> without(Definition excluded, List<Definition> definitions) {
        return definitions.stream().filter(other -> !other.equals(excluded)).toList();
    }

    private static String locations(List<Definition> definitions) {
        return definitions.stream()
                .map(definition -> SettingsKeys.draft(definition.team(), definition.document()))
                .distinct()
                .sorted()
                .collect(Collectors.joining(", "));
    }
}
