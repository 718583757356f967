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
    void theSameInputGivesTheSameBytesAndNothingIsToDoAfterwards() {
        List<Draft> drafts = List.of(draft("models", LLM, 3), draft("halls", TARGET, 5));
        AcceptedTree first = accept(AcceptedTree.NONE, drafts);
        AcceptedTree second = accept(AcceptedTree.NONE, List.of(drafts.get(1), drafts.get(0)));
        assertEquals(first, second);
        assertEquals(1, first.generation());
        assertEquals(Map.of("models", 3L, "halls", 5L), first.head().revisionByTeam());
        assertNull(decide(first, drafts).next());
    }

    @Test
    void aFaultyTeamStaysAtItsAcceptedBodyAndHoldsNobodyBack() {
        // One team's draft is broken while another's is right: the second is in force at once, the first keeps what was
        // accepted of it, and its operators read why.
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
    void ofTwoNewDraftsInConflictNeitherEntersAndTheEarlierAcceptedStays() {
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
    void aCustomerMovesBetweenTeamsOnlyWhenTheLeavingSideIsAccepted() {
        // Two teams move a customer in one go; while the giving team's draft has another fault, its accepted body still
        // defines the customer, so the taking team must wait too, or two bodies would define it.
        AcceptedTree before = accept(AcceptedTree.NONE, List.of(draft("floor", customer("acme", 2), 1)));
        Draft take = draft("port", customer("acme", 4), 3);
        Acceptance faulty = decide(before, List.of(draft("floor", "{'x':1}", 2), take));
        assertNull(faulty.next());
        assertEquals(List.of(ErrorType.SETTINGS_CONFLICT), refusalTypes(faulty, "port"));
        AcceptedTree moved = accept(before, List.of(draft("floor", "{}", 4), take));
        assertEquals(4, weight(moved, "acme"));
    }

    @Test
    void aTeamThatIsTakenOutTakesItsFollowersWithIt() {
        // Floor gives up acme for clyde, port takes acme, and hall wants clyde as well. Clyde is a conflict of two new
        // drafts, so floor stays at acme; only then does port's acme conflict, and it must not slip through.
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
    void aPoolThatTargetsNameIsNotRemoved() {
        AcceptedTree before = accept(AcceptedTree.NONE, List.of(draft("models", LLM, 1), draft("halls", TARGET, 2)));
        Acceptance removed = decide(before, List.of(draft("halls", TARGET, 2)));
        assertNull(removed.next());
        assertEquals(List.of(ErrorType.SETTINGS_POOL_IN_USE), refusalTypes(removed, "models"));
        AcceptedTree empty = accept(before, List.of());
        assertEquals(Map.of(), empty.bodyByTeam());
    }

    @Test
    void aBodyOverTheLimitIsRefusedAndTheRestEnters() {
        // The platform's service refuses values over a megabyte; without the check the whole transaction would fail,
        // and with it every other team's change.
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
    void aRestoredServiceNeitherRevertsTheFleetNorStopsLaterChanges() {
        // Operators raise a weight to 3 (generation 2); the platform's service is restored from a backup with
        // generation 1 and the old draft of weight 2. Callers keep being served by weight 3, the team is told to write
        // again, and its next write is in force although the service counts its revisions a second time.
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
    void anEmptiedServiceIsFilledAgainFromWhatIsHeld() {
        AcceptedTree held = accept(AcceptedTree.NONE, List.of(draft("floor", customer("acme", 3), 2)));
        Acceptance repair = SettingsAcceptor.decide(AcceptedTree.NONE, held, 1, List.of());
        assertNotNull(repair.next());
        assertEquals(2, repair.next().generation());
        assertEquals(3, weight(repair.next(), "acme"));
        assertNull(decide(repair.next(), List.of()).next());
    }

    @Test
    void aGenerationHeardOfButLostIsPassedOver() {
        AcceptedTree recorded = accept(AcceptedTree.NONE, List.of(draft("floor", customer("acme", 3), 2)));
        Acceptance acceptance =
                SettingsAcceptor.decide(recorded, recorded, 9, List.of(draft("floor", customer("acme", 3), 2)));
        assertNotNull(acceptance.next());
        assertEquals(10, acceptance.next().generation());
        assertEquals(recorded.bodyByTeam(), acceptance.next().bodyByTeam());
    }

    static Draft draft(String team, String json, long modRevision) {
        return new Draft(team, "base", json.replace('\'', '"'), modRevision);
    }

    static String customer(String name, int weight) {
        return "{'customers':{'" + name + "':{'weight':" + weight + ",'apiKeysSha256':[]}}}";
    }

    private static Acceptance decide(AcceptedTree recorded, List<Draft> drafts) {
        return SettingsAcceptor.decide(recorded, recorded, 0, drafts);
    }

    private static AcceptedTree accept(AcceptedTree recorded, List<Draft> drafts) {
        AcceptedTree next = decide(recorded, drafts).next();
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
