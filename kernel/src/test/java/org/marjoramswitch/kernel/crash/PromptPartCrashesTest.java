package org.marjoramswitch.kernel.crash;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.kernel.message.PeerMessage.RequestCrash;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.PlacementSpec;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.PromptPart;
import org.marjoramswitch.kernel.model.RequestSpec;
import org.marjoramswitch.kernel.model.TargetId;

/** Guards against blocking sound parts of prompts, and against not blocking poison ones. */
class PromptPartCrashesTest {
    private static final long DIGEST = 7;

    private final PoisonRequests poisonRequests = PoisonRequests.create();

    @Test
    void crashesAtDifferentMomentsBlockAPart() {
        crash("t1", 0);
        crash("t2", 500);
        assertEquals(0, poisonRequests.blockedForMs(DIGEST, 999));
        crash("t3", 1_000);
        assertTrue(poisonRequests.blockedForMs(DIGEST, 1_000) > 0);
        assertTrue(poisonRequests.isPromptPart(DIGEST));
    }

    @Test
    void targetsThatCrashTogetherDoNotBlockAPart() {
        for (int i = 0; i < 10; i++) {
            crash("t" + i, 49L * i);
        }
        assertEquals(0, poisonRequests.blockedForMs(DIGEST, 1_000));
    }

    /** Reports of several instances arrive in any order. */
    @Test
    void orderOfReportsDoesNotMatter() {
        crash("t3", 1_000);
        poisonRequests.add(new RequestCrash(DIGEST, TargetId.of("t1"), 1_000, true), 1_000);
        poisonRequests.add(new RequestCrash(DIGEST, TargetId.of("t2"), 500, true), 1_000);
        assertTrue(poisonRequests.blockedForMs(DIGEST, 1_000) > 0);
    }

    /** Only crashes after the response began may still be due to the part. */
    @Test
    void responseThatWentOnClearsEarlierCrashes() {
        crash("t1", 0);
        crash("t2", 600);
        assertTrue(poisonRequests.clearUntil(DIGEST, 300));
        assertEquals(1, poisonRequests.crashCount(DIGEST));
        assertFalse(poisonRequests.clearUntil(DIGEST, 300));
        crash("t3", 1_200);
        assertEquals(0, poisonRequests.blockedForMs(DIGEST, 1_200));
    }

    @Test
    void requestIsBlockedForAnyOfItsSharedParts() {
        CrashSuspects suspects = suspects(1, 2, 3);
        List<Long> shared = suspects.promptParts();
        assertEquals(2, shared.size(), "the last part is the request's own");
        for (int i = 0; i < 3; i++) {
            poisonRequests.add(new RequestCrash(shared.get(1), TargetId.of("t" + i), 0, true), 1_000L * i);
        }
        assertEquals(shared.get(1), poisonRequests.blockedDigest(suspects, 2_000));
        assertTrue(poisonRequests.blockedForMs(suspects(9, 2, 8), 2_000) > 0);
        assertEquals(0, poisonRequests.blockedForMs(suspects(1, 9, 2), 2_000));
    }

    private static CrashSuspects suspects(long... parts) {
        List<PromptPart> prompt =
                Arrays.stream(parts).mapToObj(part -> PromptPart.of(part, 10)).toList();
        PlacementSpec placement = new PlacementSpec(prompt, 5, 400, 2, true);
        return CrashSuspects.of(
                new RequestSpec(1, CustomerId.of("a"), PoolId.of("p"), 1, true, 30, 5, 0, 5_000, placement, DIGEST));
    }

    private void crash(String target, long nowMs) {
        poisonRequests.add(new RequestCrash(DIGEST, TargetId.of(target), 0, true), nowMs);
    }
}
