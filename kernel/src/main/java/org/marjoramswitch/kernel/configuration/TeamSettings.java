package org.marjoramswitch.kernel.configuration;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.settings.CustomerSettings;
import org.marjoramswitch.kernel.settings.PoolSettings;
import org.marjoramswitch.kernel.settings.TargetSettings;

/**
 * The combined settings of one team's documents.
 *
 * @param definitions all definitions, including duplicates
 * @param definitionByTarget the location of each target's definition
 */
record TeamSettings(
        String team,
        List<CustomerSettings> customers,
        List<PoolSettings> pools,
        List<TargetSettings> targets,
        List<Definition> definitions,
        Map<TargetSettings, Definition> definitionByTarget) {

    static TeamSettings none(String team) {
        return new TeamSettings(team, List.of(), List.of(), List.of(), List.of(), Map.of());
    }

    Set<Definition.Name> names() {
        return definitions.stream().map(Definition::name).collect(Collectors.toSet());
    }

    Set<PoolId> poolIds() {
        return pools.stream().map(PoolSettings::id).collect(Collectors.toSet());
    }
}
