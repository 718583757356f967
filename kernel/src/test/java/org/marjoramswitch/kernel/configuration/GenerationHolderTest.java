package org.marjoramswitch.kernel.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class GenerationHolderTest {
    private static final AcceptedTree FIRST = next(AcceptedTree.NONE, 0, 1, "floor");
    private static final AcceptedTree SECOND = next(FIRST, 0, 2, "floor");
    private static final AcceptedTree THIRD = next(SECOND, 0, 3, "floor");

    private final GenerationHolder holder = GenerationHolder.create();

    @Test
    void rejectsLowerGeneration() {
        // A peer that was partitioned offers its old generation; the instance must keep its newer one.
        adopt(THIRD, THIRD.bodyByTeam());
        assertInstanceOf(GenerationHolder.Older.class, adopt(SECOND, SECOND.bodyByTeam()));
        assertEquals(THIRD, holder.held());
    }

    @Test
    void rejectsGenerationBelowAnnouncedOne() {
        holder.noteAnnounced(3);
        assertInstanceOf(GenerationHolder.Older.class, adopt(SECOND, SECOND.bodyByTeam()));
        assertEquals(AcceptedTree.NONE, holder.held());
        assertInstanceOf(GenerationHolder.Adopted.class, adopt(THIRD, THIRD.bodyByTeam()));
    }

    @Test
    void rejectsOtherContentWithSameNumber() {
        AcceptedTree other = next(FIRST, 0, 9, "floor");
        adopt(SECOND, SECOND.bodyByTeam());
        assertInstanceOf(GenerationHolder.Contradiction.class, adopt(other, other.bodyByTeam()));
        assertEquals(SECOND, holder.held());
    }

    @Test
    void rejectsBodiesThatDoNotMatchDigest() {
        assertInstanceOf(GenerationHolder.Incomplete.class, adopt(SECOND, FIRST.bodyByTeam()));
        assertEquals(AcceptedTree.NONE, holder.held());
    }

    @Test
    void adoptsFromBodiesChangedSinceHeldGeneration() {
        AcceptedTree two = next(FIRST, 0, 2, "port");
        adopt(FIRST, FIRST.bodyByTeam());
        Map<String, String> newer = two.bodiesAfter(1);
        assertEquals(List.of("port"), List.copyOf(newer.keySet()));
        assertInstanceOf(GenerationHolder.Adopted.class, adopt(two, newer));
        assertEquals(two, holder.held());
    }

    private GenerationHolder.Result adopt(AcceptedTree tree, Map<String, String> bodies) {
        return holder.adopt(tree.generation(), tree.head().digest(), bodies);
    }

    private static AcceptedTree next(AcceptedTree before, long highestSeen, long revision, String team) {
        String customer = SettingsAcceptorTest.customer(team, (int) revision);
        List<Draft> drafts = new java.util.ArrayList<>(List.of(SettingsAcceptorTest.draft(team, customer, revision)));
        if (!team.equals("floor")) {
            drafts.add(SettingsAcceptorTest.draft("floor", SettingsAcceptorTest.customer("floor", 1), 1));
        }
        AcceptedTree next =
                SettingsAcceptor.decide(before, before, highestSeen, drafts).next();
        assertNotNull(next);
        return next;
    }
}
