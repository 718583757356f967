package org.marjoramswitch.kernel.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.misc.Sha256;
import org.marjoramswitch.kernel.model.CustomerId;

class SettingsAcceptorTest {
    private static final String LLM = "{'pools':{'llm':{'kind':'model-engine'}}}";
    private static final String TARGET =
            "{'targets':{'t':{'pool':'llm','address':'10.0.0.1:80','dataCentre':'a','slots':1}}}";

    @Test
    void sameDraftsGiveSameBytesAndNoFurtherChange() {
        List<Draft> drafts = List.of(draft("models", LLM, 3), draft("halls", TARGET, 5));
        AcceptedTree first = accept(AcceptedTree.NONE, drafts);
        AcceptedTree second = accept(AcceptedTree.NONE, List.of(drafts.get(1), drafts.get(0)));
        assertEquals(first, second);
        assertEquals(1, first.generation());
        assertEquals(Map.of("models", 3L, "halls", 5L), first.head().revisionByTeam());
        assertNull(decide(first, drafts).next());
    }

    @Test
    void invalidDraftKeepsAcceptedBodyAndDoesNotBlockOtherTeams() {
        // One team's draft is invalid and another's is valid. The valid one must be accepted at once; the other team
        // keeps its accepted body and gets a refusal that states the reason.
        AcceptedTree before = accept(AcceptedTree.NONE, List.of(draft("floor", customer("acme", 2), 1)));
        Acceptance acceptance =
                decide(before, List.of(draft("floor", "{'customers':7}", 2), draft("port", customer("clyde", 4), 3)));
        AcceptedTree after = acceptance.next();
        assertNotNull(after);
        assertEquals(2, weight(after, "acme"));
        assertEquals(4, weight(after, "clyde"));
        assertEquals(List.of(ErrorType.SETTINGS_INVALID), refusalTypes(acceptance, "floor"));
        assertEquals(List.of("port"), List.copyOf(after.bodiesAfter(1).keySet()));
    }

    @Test
    void rejectsBothOfTwoConflictingNewDraftsAndKeepsAcceptedDefinition() {
        AcceptedTree none = AcceptedTree.NONE;
        Acceptance both =
                decide(none, List.of(draft("floor", customer("acme", 2), 1), draft("port", customer("acme", 4), 2)));
        assertNull(both.next());
        assertEquals(List.of(ErrorType.SETTINGS_CONFLICT), refusalTypes(both, "floor"));
        assertTrue(both.refusals().get("port").get(0).detail().contains("settings/floor/base"));

        AcceptedTree before = accept(none, List.of(draft("floor", customer("acme", 2), 1)));
        Acceptance late =
                decide(before, List.of(draft("floor", customer("acme", 3), 3), draft("port", customer("acme", 4), 2)));
        assertNotNull(late.next());
        assertEquals(3, weight(late.next(), "acme"));
        assertEquals(List.of("port"), List.copyOf(late.refusals().keySet()));
    }

    @Test
    void customerMovesBetweenTeamsOnlyIfRemovalIsAccepted() {
        // Two teams move a customer at the same time, but the draft of the team that drops it has a fault. Its accepted
        // body still defines the customer, so the other team's draft must be rejected too. Otherwise two bodies would
        // define the customer.
        AcceptedTree before = accept(AcceptedTree.NONE, List.of(draft("floor", customer("acme", 2), 1)));
        Draft take = draft("port", customer("acme", 4), 3);
        Acceptance faulty = decide(before, List.of(draft("floor", "{'x':1}", 2), take));
        assertNull(faulty.next());
        assertEquals(List.of(ErrorType.SETTINGS_CONFLICT), refusalTypes(faulty, "port"));
        AcceptedTree moved = accept(before, List.of(draft("floor", "{}", 4), take));
        assertEquals(4, weight(moved, "acme"));
    }

    @Test
    void rejectsTeamsThatConflictOnceAnotherTeamIsRejected() {
        // Floor replaces acme by clyde, port adds acme, and hall adds clyde too. Clyde is a conflict of two new drafts,
        // so floor falls back to acme. Only then does port's acme conflict, which a second round must detect.
        AcceptedTree before = accept(AcceptedTree.NONE, List.of(draft("floor", customer("acme", 2), 1)));
        Acceptance acceptance = decide(
                before,
                List.of(
                        draft("floor", customer("clyde", 3), 2),
                        draft("hall", customer("clyde", 4), 3),
                        draft("port", customer("acme", 5), 4)));
        assertNull(acceptance.next());
        assertEquals(
                List.of("floor", "hall", "port"),
                List.copyOf(acceptance.refusals().keySet()));
    }

    @Test
    void rejectsRemovalOfPoolUsedByTargets() {
        AcceptedTree before = accept(AcceptedTree.NONE, List.of(draft("models", LLM, 1), draft("halls", TARGET, 2)));
        Acceptance removed = decide(before, List.of(draft("halls", TARGET, 2)));
        assertNull(removed.next());
        assertEquals(List.of(ErrorType.SETTINGS_POOL_IN_USE), refusalTypes(removed, "models"));
        AcceptedTree empty = accept(before, List.of());
        assertEquals(Map.of(), empty.bodyByTeam());
    }

    @Test
    void rejectsOversizedBodyAndAcceptsOtherTeams() {
        // The key-value store rejects values over one megabyte. Without the check the whole transaction would fail,
        // including the changes of all other teams.
        StringBuilder customers = new StringBuilder("{'customers':{");
        IntStream.range(0, 10_000)
                .forEach(i -> customers
                        .append(i == 0 ? "" : ",")
                        .append("'customer-" + i + "':{'apiKeysSha256':['" + Sha256.hex("" + i) + "']}"));
        Draft large = draft("floor", customers.append("}}").toString(), 1);
        assertTrue(large.json().length() > SettingsAcceptor.MAX_BODY_BYTES, "the draft must exceed the limit");
        Acceptance acceptance = decide(AcceptedTree.NONE, List.of(large, draft("port", customer("acme", 1), 2)));
        assertEquals(List.of(ErrorType.SETTINGS_TOO_LARGE), refusalTypes(acceptance, "floor"));
        assertNotNull(acceptance.next());
        assertEquals(List.of("port"), List.copyOf(acceptance.next().bodyByTeam().keySet()));
    }

    @Test
    void restoredStoreNeitherRevertsSettingsNorBlocksLaterChanges() {
        // Operators raise a weight to 3 (generation 2), then the store is restored from a backup with generation 1 and
        // the old draft of weight 2. Weight 3 must stay active, the team must be notified to write its draft again, and
        // its next write must take effect although the store assigns the same revision again.
        Draft old = draft("floor", customer("acme", 2), 1);
        AcceptedTree backup = accept(AcceptedTree.NONE, List.of(old));
        AcceptedTree held = accept(backup, List.of(draft("floor", customer("acme", 3), 2)));
        Acceptance repair = SettingsAcceptor.decide(backup, held, 7, List.of(old));
        AcceptedTree repaired = repair.next();
        assertNotNull(repaired);
        assertEquals(8, repaired.generation());
        assertEquals(3, weight(repaired, "acme"));
        assertEquals(List.of(ErrorType.SETTINGS_SUPERSEDED), refusalTypes(repair, "floor"));

        Acceptance again = decide(repaired, List.of(old));
        assertNull(again.next());
        assertEquals(List.of(ErrorType.SETTINGS_SUPERSEDED), refusalTypes(again, "floor"));

        Acceptance written = decide(repaired, List.of(draft("floor", customer("acme", 5), 2)));
        assertNotNull(written.next());
        assertEquals(5, weight(written.next(), "acme"));
        assertTrue(written.refusals().isEmpty());
    }

    @Test
    void emptiedStoreIsRefilledFromHeldGeneration() {
        AcceptedTree held = accept(AcceptedTree.NONE, List.of(draft("floor", customer("acme", 3), 2)));
        Acceptance repair = SettingsAcceptor.decide(AcceptedTree.NONE, held, 1, List.of());
        assertNotNull(repair.next());
        assertEquals(2, repair.next().generation());
        assertEquals(3, weight(repair.next(), "acme"));
        assertNull(decide(repair.next(), List.of()).next());
    }

    @Test
    void publishesAboveAnnouncedGenerationThatWasLost() {
        AcceptedTree stored = accept(AcceptedTree.NONE, List.of(draft("floor", customer("acme", 3), 2)));
        Acceptance acceptance =
                SettingsAcceptor.decide(stored, stored, 9, List.of(draft("floor", customer("acme", 3), 2)));
        assertNotNull(acceptance.next());
        assertEquals(10, acceptance.next().generation());
        assertEquals(stored.bodyByTeam(), acceptance.next().bodyByTeam());
    }

    static Draft draft(String team, String json, long modRevision) {
        return new Draft(team, "base", json.replace('\'', '"'), modRevision);
    }

    static String customer(String name, int weight) {
        return "{'customers':{'" + name + "':{'weight':" + weight + ",'apiKeysSha256':[]}}}";
    }

    private static Acceptance decide(AcceptedTree stored, List<Draft> drafts) {
        return SettingsAcceptor.decide(stored, stored, 0, drafts);
    }

    private static AcceptedTree accept(AcceptedTree stored, List<Draft> drafts) {
        AcceptedTree next = decide(stored, drafts).next();
        assertNotNull(next);
        return next;
    }

    private static double weight(AcceptedTree tree, String customer) {
        return tree.settings().customers().get(CustomerId.of(customer)).weight();
    }

    private static List<ErrorType> refusalTypes(Acceptance acceptance, String team) {
        return acceptance.refusals().getOrDefault(team, List.of()).stream()
                .map(SettingsFault::type)
                .toList();
    }
}
