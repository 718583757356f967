package org.marjoramswitch.kernel.configuration;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;
import org.marjoramswitch.kernel.error.ErrorType;

/**
 * Decides which drafts become the next accepted generation.
 *
 * <p><b>Algorithm.</b> A team's drafts are accepted together or not at all; a rejected team keeps its accepted body.
 * The candidates are the changed teams whose drafts are valid on their own. Each round looks for conflicts in the
 * resulting tree and removes the responsible candidates, until no conflict is left. A removed team falls back to its
 * accepted body, which may conflict with another candidate, so one round is not enough. Each round removes at least
 * one candidate, and without candidates the tree is the accepted one, so there are at most as many rounds as changed
 * teams.
 *
 * <p><b>Responsibility for conflicts.</b> For a duplicate name, the changed teams that did not define it before are
 * responsible: the accepted definition stays, and of two new drafts neither is accepted, so that the outcome does not
 * depend on which operator wrote first by a millisecond. The fault of each team names the other. For a missing pool,
 * the changed teams that would remove it are responsible, or if there are none, those whose targets newly reference it.
 * For a conflict that no change introduces (an older acceptor accepted it) no team is responsible or rejected.
 *
 * <p><b>Correctness.</b> The decision is a function of its input, bodies are canonical text, and the result is written
 * by a compare-and-swap on the head that was read. So of several concurrent acceptors exactly one publishes, and the
 * others read again. The caller must read the accepted tree <em>before</em> the drafts: drafts read earlier than the
 * head might be older than those that the head considers, and publishing them would revert an accepted setting. In
 * this order the drafts are at least as new as the head, and if the head changes afterwards, the compare-and-swap
 * fails.
 *
 * <p><b>Restored store.</b> A stored generation below the held one, or with the same number but other content, means
 * that the store was restored from a backup (or emptied). Instances keep the higher generation, so the next one takes a
 * number above the highest that any instance has announced, and the content of the held one. The drafts in the restored
 * store are old too and cannot be distinguished from new writes, so all of them are set aside as superseded: their
 * versions are recorded in the bodies, and each team is notified to write its drafts again. The next write of a
 * document takes effect as usual. Example: held is 45 with weight 3; restored is 40 with weight 2 in both body and
 * draft. Generation 46 is published with weight 3 and records that the draft with weight 2 was considered.
 *
 * <p><b>Cost.</b> Each body and each changed draft is parsed once; each round makes one pass over all definitions.
 */
public final class SettingsAcceptor {
    /** Maximum size of a team's body; the key-value store limits values to one megabyte. */
    public static final int MAX_BODY_BYTES = 900_000;

    /** Maximum total size of all bodies; keeps any acceptance within one store transaction and one peer message. */
    public static final int MAX_TREE_BYTES = 1_200_000;

    /** Maximum number of teams; keeps an acceptance within the usual limit of 128 operations per transaction. */
    public static final int MAX_TEAMS = 100;

    /** Maximum documents of a team; a refusal compares the revisions of all of them in one transaction. */
    public static final int MAX_DOCUMENTS = 100;

    private final SortedMap<String, TeamBody> base;
    private final long generation;
    private final SortedMap<String, TeamSettings> acceptedByTeam = new TreeMap<>();
    private final SortedMap<String, Candidate> candidates = new TreeMap<>();
    private final SortedMap<String, List<SettingsFault>> refusals = new TreeMap<>();

    private SettingsAcceptor(SortedMap<String, TeamBody> base, long generation) {
        this.base = base;
        this.generation = generation;
        base.forEach((team, body) -> acceptedByTeam.put(team, TeamReader.read(team, body.contents())));
    }

    /**
     * Decides on the next generation.
     *
     * @param stored the tree in the key-value store, read before {@code drafts}
     * @param held the tree that this instance holds
     * @param highestSeen the highest generation that any source has announced; the next one exceeds it
     */
    public static Acceptance decide(
            AcceptedTree stored, AcceptedTree held, long highestSeen, Collection<Draft> drafts) {
        long highest = Math.max(highestSeen, Math.max(stored.generation(), held.generation()));
        boolean restored = isRestored(stored, held);
        AcceptedTree newest = restored ? held : stored;
        SettingsAcceptor acceptor = new SettingsAcceptor(newest.bodies(), highest + 1);
        SortedMap<String, SortedMap<String, Draft>> draftsByTeam = byTeam(drafts);
        if (restored) {
            return acceptor.supersede(draftsByTeam);
        }
        return acceptor.accept(draftsByTeam, highest > stored.generation());
    }

    /** Whether the key-value store has lost a generation that this instance holds. */
    public static boolean isRestored(AcceptedTree stored, AcceptedTree held) {
        if (stored.generation() != held.generation()) {
            return stored.generation() < held.generation();
        }
        return !stored.head().digest().equals(held.head().digest());
    }

    private static SortedMap<String, SortedMap<String, Draft>> byTeam(Collection<Draft> drafts) {
        SortedMap<String, SortedMap<String, Draft>> byTeam = new TreeMap<>();
        drafts.forEach(draft ->
                byTeam.computeIfAbsent(draft.team(), team -> new TreeMap<>()).put(draft.document(), draft));
        return byTeam;
    }

    private Acceptance accept(SortedMap<String, SortedMap<String, Draft>> draftsByTeam, boolean mustPublish) {
        SortedSet<String> teams = new TreeSet<>(draftsByTeam.keySet());
        teams.addAll(base.keySet());
        teams.forEach(team -> consider(team, draftsByTeam.getOrDefault(team, Collections.emptySortedMap())));
        while (removeResponsible()) {
            // Removed teams fall back to their accepted bodies, which may cause further conflicts.
        }
        SortedMap<String, TeamBody> bodies = bodies();
        bodies.forEach(this::noteSuperseded);
        boolean publish = mustPublish || !candidates.isEmpty();
        return new Acceptance(publish ? AcceptedTree.built(generation, bodies) : null, refusals);
    }

    /** Makes a team a candidate if its drafts differ from the considered ones and are valid on their own. */
    private void consider(String team, SortedMap<String, Draft> drafts) {
        TeamBody accepted = base.getOrDefault(team, TeamBody.EMPTY);
        SortedMap<String, AcceptedDocument> documents = unchanged(accepted, drafts);
        List<SettingsFault> faults = new ArrayList<>();
        drafts.values().stream()
                .filter(draft -> !documents.containsKey(draft.document()))
                .forEach(draft -> read(draft, documents, faults));
        if (faults.isEmpty() && documents.equals(accepted.documents())) {
            return;
        }
        TeamBody body = new TeamBody(generation, documents);
        TeamSettings settings = TeamReader.read(team, body.contents());
        ConflictFinder.duplicates(List.of(settings))
                .forEach(duplicate -> faults.addAll(ConflictFaults.forDefinitions(duplicate, definition -> true)));
        long bytes = bytes(body);
        if (bytes > MAX_BODY_BYTES || documents.size() > MAX_DOCUMENTS) {
            faults.add(tooLarge(team, bytes + " bytes in " + documents.size() + " documents"));
        }
        if (faults.isEmpty()) {
            candidates.put(team, new Candidate(body, settings));
            return;
        }
        reject(team, faults);
    }

    /** The documents whose drafts were already considered, and those for which a restored store has no draft. */
    private static SortedMap<String, AcceptedDocument> unchanged(TeamBody accepted, SortedMap<String, Draft> drafts) {
        SortedMap<String, AcceptedDocument> unchanged = new TreeMap<>();
        accepted.documents().forEach((name, document) -> {
            Draft draft = drafts.get(name);
            DraftVersion version = draft == null ? null : draft.version();
            if (Objects.equals(version, document.draft())) {
                unchanged.put(name, document);
            }
        });
        return unchanged;
    }

    private static void read(Draft draft, SortedMap<String, AcceptedDocument> documents, List<SettingsFault> faults) {
        DocumentParser.Result result = DocumentParser.parse(draft);
        if (result instanceof DocumentParser.Faulty faulty) {
            faults.addAll(faulty.faults());
            return;
        }
        DocumentParser.Parsed parsed = (DocumentParser.Parsed) result;
        documents.put(draft.document(), new AcceptedDocument(parsed.root(), draft.version(), false));
    }

    /** Runs one round: finds the conflicts in the resulting tree and removes the responsible candidates. */
    private boolean removeResponsible() {
        List<SettingsFault> faults = new ArrayList<>();
        for (Conflict conflict : ConflictFinder.find(settings())) {
            faults.addAll(conflictFaults(conflict));
        }
        if (faults.isEmpty()) {
            faults.addAll(sizeFaults());
        }
        Map<String, List<SettingsFault>> byTeam = faults.stream().collect(Collectors.groupingBy(SettingsFault::team));
        byTeam.forEach(this::reject);
        return !byTeam.isEmpty();
    }

    private List<SettingsFault> conflictFaults(Conflict conflict) {
        if (conflict instanceof Conflict.Duplicate duplicate) {
            return ConflictFaults.forDefinitions(duplicate, definition -> isNew(definition.team(), duplicate.name()));
        }
        Conflict.MissingPool missing = (Conflict.MissingPool) conflict;
        Definition.Name pool =
                new Definition.Name(Definition.Kind.POOL, missing.pool().name());
        List<SettingsFault> removers = candidates.keySet().stream()
                .filter(team -> accepted(team).names().contains(pool))
                .map(team -> ConflictFaults.forRemover(missing, team))
                .toList();
        if (!removers.isEmpty()) {
            return removers;
        }
        return ConflictFaults.forTargets(missing, target -> isNewReference(target, missing));
    }

    private boolean isNew(String team, Definition.Name name) {
        return candidates.containsKey(team) && !accepted(team).names().contains(name);
    }

    private boolean isNewReference(Definition target, Conflict.MissingPool missing) {
        if (!candidates.containsKey(target.team())) {
            return false;
        }
        return accepted(target.team()).targets().stream()
                .noneMatch(known -> known.pool().equals(missing.pool())
                        && known.id().name().equals(target.name().text()));
    }

    /** If the tree is too large, selects the candidate that grows most; one per round, as that may be enough. */
    private List<SettingsFault> sizeFaults() {
        SortedMap<String, TeamBody> bodies = bodies();
        long bytes = bodies.values().stream().mapToLong(SettingsAcceptor::bytes).sum();
        if (bytes <= MAX_TREE_BYTES && bodies.size() <= MAX_TEAMS) {
            return List.of();
        }
        ToLongFunction<String> growth = team ->
                bytes(bodies.getOrDefault(team, TeamBody.EMPTY)) - bytes(base.getOrDefault(team, TeamBody.EMPTY));
        return candidates.keySet().stream()
                .filter(team -> growth.applyAsLong(team) > 0)
                .max(Comparator.comparingLong(growth).thenComparing(Comparator.naturalOrder()))
                .map(team -> List.of(tooLarge(team, bytes + " bytes in " + bodies.size() + " teams together")))
                .orElse(List.of());
    }

    private static SettingsFault tooLarge(String team, String detail) {
        return new SettingsFault(team, "", "", ErrorType.SETTINGS_TOO_LARGE, detail);
    }

    private void reject(String team, List<SettingsFault> faults) {
        candidates.remove(team);
        refusals.computeIfAbsent(team, name -> new ArrayList<>()).addAll(faults);
    }

    private TeamSettings accepted(String team) {
        return acceptedByTeam.getOrDefault(team, TeamSettings.none(team));
    }

    private Collection<TeamSettings> settings() {
        SortedMap<String, TeamSettings> settings = new TreeMap<>(acceptedByTeam);
        candidates.forEach((team, candidate) -> settings.put(team, candidate.settings()));
        return settings.values();
    }

    private SortedMap<String, TeamBody> bodies() {
        SortedMap<String, TeamBody> bodies = new TreeMap<>(base);
        candidates.forEach((team, candidate) -> bodies.put(team, candidate.body()));
        bodies.values().removeIf(body -> body.documents().isEmpty());
        return bodies;
    }

    /** Publishes the base under a number above all that were seen, with every draft set aside. */
    private Acceptance supersede(SortedMap<String, SortedMap<String, Draft>> draftsByTeam) {
        SortedMap<String, TeamBody> bodies = new TreeMap<>(base);
        Set<String> teams = new TreeSet<>(draftsByTeam.keySet());
        teams.addAll(base.keySet());
        for (String team : teams) {
            TeamBody accepted = base.getOrDefault(team, TeamBody.EMPTY);
            SortedMap<String, AcceptedDocument> documents =
                    superseded(accepted, draftsByTeam.getOrDefault(team, Collections.emptySortedMap()));
            if (!documents.equals(accepted.documents())) {
                bodies.put(team, new TeamBody(generation, documents));
            }
        }
        bodies.values().removeIf(body -> body.documents().isEmpty());
        bodies.forEach(this::noteSuperseded);
        return new Acceptance(AcceptedTree.built(generation, bodies), refusals);
    }

    private static SortedMap<String, AcceptedDocument> superseded(TeamBody accepted, SortedMap<String, Draft> drafts) {
        SortedMap<String, AcceptedDocument> documents = unchanged(accepted, drafts);
        Set<String> others = new TreeSet<>(drafts.keySet());
        others.addAll(accepted.documents().keySet());
        others.removeAll(documents.keySet());
        for (String name : others) {
            AcceptedDocument document = accepted.documents().get(name);
            Draft draft = drafts.get(name);
            var content = document == null ? null : document.content();
            if (content != null || draft != null) {
                documents.put(name, new AcceptedDocument(content, draft == null ? null : draft.version(), true));
            }
        }
        return documents;
    }

    private void noteSuperseded(String team, TeamBody body) {
        body.documents().forEach((name, document) -> {
            if (document.superseded()) {
                String detail =
                        document.draft() == null ? "the draft is gone" : "the draft is older than the accepted one";
                refusals.computeIfAbsent(team, key -> new ArrayList<>())
                        .add(new SettingsFault(team, name, "", ErrorType.SETTINGS_SUPERSEDED, detail));
            }
        });
    }

    private static long bytes(TeamBody body) {
        return body.toJson().getBytes(StandardCharsets.UTF_8).length;
    }

    /** A changed team's body and settings as they would be accepted. */
    private record Candidate(TeamBody body, TeamSettings settings) {}
}
