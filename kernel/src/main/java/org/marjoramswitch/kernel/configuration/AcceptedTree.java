package org.marjoramswitch.kernel.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.settings.CustomerSettings;
import org.marjoramswitch.kernel.settings.FleetSettings;
import org.marjoramswitch.kernel.settings.PoolSettings;
import org.marjoramswitch.kernel.settings.TargetSettings;

/**
 * A complete accepted generation whose bodies are verified against the digest in its head.
 *
 * @param bodyByTeam the bodies' JSON texts as published
 */
public record AcceptedTree(AcceptedHead head, SortedMap<String, String> bodyByTeam) {
    /** The empty tree, generation 0, that is active before the first acceptance. */
    public static final AcceptedTree NONE =
            new AcceptedTree(new AcceptedHead(0, "", Collections.emptySortedMap()), Collections.emptySortedMap());

    public long generation() {
        return head.generation();
    }

    /** Builds a tree from these bodies; null if they do not match {@code digest} or cannot be parsed. */
    public static @Nullable AcceptedTree verified(long generation, String digest, Map<String, String> bodyByTeam) {
        SortedMap<String, String> bodies = new TreeMap<>(bodyByTeam);
        if (!GenerationDigest.of(generation, bodies).equals(digest)) {
            return null;
        }
        try {
            return of(generation, bodies);
        } catch (JsonProcessingException e) {
            return null;
        }
    }

    /**
     * Builds the stored tree from all entries under {@link SettingsKeys#ACCEPTED}; {@link #NONE} if there is no head
     * or the bodies do not match it.
     */
    public static AcceptedTree fromStore(Map<String, String> valueByKey) {
        String headJson = valueByKey.get(SettingsKeys.HEAD);
        AcceptedHead head = headJson == null ? null : AcceptedHead.parse(headJson);
        if (head == null) {
            return NONE;
        }
        SortedMap<String, String> bodies = new TreeMap<>();
        valueByKey.forEach((key, value) -> {
            if (key.startsWith(SettingsKeys.BODIES)) {
                bodies.put(key.substring(SettingsKeys.BODIES.length()), value);
            }
        });
        AcceptedTree tree = verified(head.generation(), head.digest(), bodies);
        return tree == null ? NONE : tree;
    }

    private static AcceptedTree of(long generation, SortedMap<String, String> bodies) throws JsonProcessingException {
        SortedMap<String, Long> revisions = new TreeMap<>();
        for (Map.Entry<String, String> body : bodies.entrySet()) {
            revisions.put(body.getKey(), TeamBody.parse(body.getValue()).revision());
        }
        AcceptedHead head = new AcceptedHead(
                generation, GenerationDigest.of(generation, bodies), Collections.unmodifiableSortedMap(revisions));
        return new AcceptedTree(head, Collections.unmodifiableSortedMap(bodies));
    }

    static AcceptedTree built(long generation, SortedMap<String, TeamBody> bodies) {
        SortedMap<String, String> texts = new TreeMap<>();
        bodies.forEach((team, body) -> texts.put(team, body.toJson()));
        try {
            return of(generation, texts);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The bodies that changed after {@code heldGeneration}: those that a holder of that generation is missing. */
    public SortedMap<String, String> bodiesAfter(long heldGeneration) {
        SortedMap<String, String> newer = new TreeMap<>();
        bodies().forEach((team, body) -> {
            if (body.generation() > heldGeneration) {
                newer.put(team, bodyByTeam.getOrDefault(team, ""));
            }
        });
        return newer;
    }

    /**
     * Whether the decision on this generation considered the draft at this revision, whether the draft became active
     * or was set aside.
     *
     * @param modRevision 0 for a deleted draft
     */
    public boolean considers(String team, String document, long modRevision) {
        AcceptedDocument accepted =
                bodies().getOrDefault(team, TeamBody.EMPTY).documents().get(document);
        DraftVersion draft = accepted == null ? null : accepted.draft();
        return modRevision == (draft == null ? 0 : draft.modRevision());
    }

    /** Parses the bodies into the typed settings of this generation. */
    public FleetSettings settings() {
        List<TeamSettings> teams = bodies().entrySet().stream()
                .map(body -> TeamReader.read(body.getKey(), body.getValue().contents()))
                .toList();
        return merge(generation(), teams);
    }

    SortedMap<String, TeamBody> bodies() {
        SortedMap<String, TeamBody> bodies = new TreeMap<>();
        bodyByTeam.forEach((team, json) -> {
            try {
                bodies.put(team, TeamBody.parse(json));
            } catch (JsonProcessingException e) {
                throw new IllegalStateException(e);
            }
        });
        return bodies;
    }

    static FleetSettings merge(long generation, Collection<TeamSettings> teams) {
        var customers =
                byId(teams.stream().flatMap(team -> team.customers().stream()).toList(), CustomerSettings::id);
        var pools = byId(teams.stream().flatMap(team -> team.pools().stream()).toList(), PoolSettings::id);
        var targets = byId(
                teams.stream()
                        .flatMap(team -> team.targets().stream())
                        .filter(target -> pools.containsKey(target.pool()))
                        .toList(),
                TargetSettings::id);
        return FleetSettings.of(generation, customers, pools, targets);
    }

    private static <K, V> Map<K, V> byId(List<V> values, Function<V, K> id) {
        return values.stream().collect(Collectors.toMap(id, value -> value, (first, second) -> first));
    }
}
