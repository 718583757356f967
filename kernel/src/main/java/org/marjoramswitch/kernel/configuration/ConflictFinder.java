package org.marjoramswitch.kernel.configuration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.settings.TargetSettings;

/** Finds all conflicts in a settings tree in one pass over its definitions and one over its targets. */
final class ConflictFinder {
    private ConflictFinder() {}

    /** Returns duplicate names, then missing pools, each sorted by name whatever the order of the teams. */
    static List<Conflict> find(Collection<TeamSettings> teams) {
        List<Conflict> conflicts = new ArrayList<>(duplicates(teams));
        conflicts.addAll(missingPools(teams));
        return conflicts;
    }

    static List<Conflict.Duplicate> duplicates(Collection<TeamSettings> teams) {
        Map<Definition.Name, List<Definition>> byName = new TreeMap<>();
        for (TeamSettings team : teams) {
            for (Definition definition : team.definitions()) {
                byName.computeIfAbsent(definition.name(), name -> new ArrayList<>())
                        .add(definition);
            }
        }
        List<Conflict.Duplicate> conflicts = new ArrayList<>();
        byName.forEach((name, definitions) -> {
            if (definitions.size() > 1) {
                conflicts.add(new Conflict.Duplicate(name, definitions));
            }
        });
        return conflicts;
    }

    private static List<Conflict> missingPools(Collection<TeamSettings> teams) {
        Set<String> defined = new HashSet<>();
        for (TeamSettings team : teams) {
            team.definitions().stream()
                    .filter(definition -> definition.name().kind() == Definition.Kind.POOL)
                    .forEach(definition -> defined.add(definition.name().text()));
        }
        Map<PoolId, List<Definition>> targetsByPool = new TreeMap<>();
        for (TeamSettings team : teams) {
            for (TargetSettings target : team.targets()) {
                if (!defined.contains(target.pool().name())) {
                    targetsByPool
                            .computeIfAbsent(target.pool(), pool -> new ArrayList<>())
                            .add(team.definitionByTarget().get(target));
                }
            }
        }
        List<Conflict> conflicts = new ArrayList<>();
        targetsByPool.forEach((pool, targets) -> conflicts.add(new Conflict.MissingPool(pool, targets)));
        return conflicts;
    }
}
