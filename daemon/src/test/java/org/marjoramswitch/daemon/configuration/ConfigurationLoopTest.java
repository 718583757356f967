package org.marjoramswitch.daemon.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.daemon.platform.KeyValueStore;
import org.marjoramswitch.kernel.configuration.AcceptedHead;
import org.marjoramswitch.kernel.configuration.Refusal;
import org.marjoramswitch.kernel.configuration.SettingsKeys;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.model.InstanceId;

class ConfigurationLoopTest {
    private static final String KEY = "settings/floor/base";
    private static final int INSTANCES = 9;

    private final FakeStore store = new FakeStore();
    private final FakeFleet fleet = FakeFleet.start(store, INSTANCES);

    @AfterEach
    void close() {
        fleet.close();
    }

    @Test
    void aChangeComesIntoForceEverywhereByOnePublication() {
        store.write(KEY, weight(2));
        fleet.awaitWeight("acme", 2);
        assertEquals(1, fleet.count("configuration.publications"));
        assertEquals(1, head().generation());
    }

    @Test
    void ofTwoOperatorsOnOnePathOneIsToldThatItLost() {
        // Two operators read the same draft and write over it. The second gets no from the compare-and-swap, reads the
        // first one's text and decides anew; what is in force is the first one's change, not a mixture.
        store.write(KEY, weight(2));
        fleet.awaitWeight("acme", 2);
        long read = entry(KEY).modRevision();
        assertTrue(store.write(KEY, weight(3), read));
        assertFalse(store.write(KEY, weight(4), read));
        fleet.awaitWeight("acme", 3);
        assertTrue(store.write(KEY, weight(4), entry(KEY).modRevision()));
        fleet.awaitWeight("acme", 4);
    }

    @Test
    void aPublicationWhoseAnswerWasLostIsFoundByReading() {
        // The acceptance takes effect, but its answer is lost, so the acceptor cannot know. It reads again, finds its
        // own generation and publishes no second one.
        store.loseNextAnswer();
        store.write(KEY, weight(2));
        fleet.awaitWeight("acme", 2);
        FakeFleet.await("the failed call", () -> fleet.count("configuration.calls_failed") == 1);
        assertEquals(1, head().generation());
        assertEquals(0, fleet.count("configuration.publications"));
    }

    @Test
    void anOutageDelaysAChangeAndARestartDuringItLearnsFromPeers() {
        // The platform's service goes down before a change is accepted. Serving goes on with the old settings; an
        // instance that restarts empty in the meantime gets them from its peers; the change enters after the outage.
        store.write(KEY, weight(2));
        fleet.awaitWeight("acme", 2);
        store.setDown(true);
        store.write(KEY, weight(3));
        fleet.restart(4);
        FakeFleet.await("settings from peers", () -> fleet.hasWeight(4, "acme", 2));
        assertEquals(1, fleet.duty(0).generation());
        store.setDown(false);
        fleet.awaitWeight("acme", 3);
        assertTrue(fleet.neverWentBack());
    }

    @Test
    void withNeitherServiceNorPeersAnInstanceIsNotReady() {
        // An instance restarts empty while the platform's service is down and all its links are cut. It has nothing to
        // serve by and says so; it is ready as soon as one of the two is back.
        store.write(KEY, weight(2));
        fleet.awaitWeight("acme", 2);
        store.setDown(true);
        fleet.cutOff(4, true);
        long calls = store.calls();
        fleet.restart(4);
        FakeFleet.await("some attempts", () -> store.calls() > calls + 50);
        assertEquals(0, fleet.duty(4).generation());
        fleet.cutOff(4, false);
        FakeFleet.await("settings from peers", () -> fleet.duty(4).generation() == 1);
    }

    @Test
    void aLatePublicationOfAStaleAcceptorChangesNothing() {
        // An acceptor decides on a draft of weight 2 and is paused on its write. Others publish, and the operator moves
        // on to weight 3. When the old write arrives at last it fails on the head's revision; nobody sees weight 2.
        store.holdNextSwap();
        store.write(KEY, weight(2));
        FakeFleet.await("a held write", store::holdsSwap);
        store.write(KEY, weight(3));
        fleet.awaitWeight("acme", 3);
        long generation = head().generation();
        assertFalse(store.releaseSwap());
        assertEquals(generation, head().generation());
        fleet.awaitWeight("acme", 3);
    }

    @Test
    void aPeerThatWasCutOffTakesTheNewerGenerationAndGivesAwayNoOlderOne() {
        // An instance loses its links, and the platform's service is away when they heal: it still offers the old
        // generation to its peers, and must take theirs instead of bringing the old one back.
        store.write(KEY, weight(2));
        fleet.awaitWeight("acme", 2);
        for (int cut = 6; cut < INSTANCES; cut++) {
            fleet.cutOff(cut, true);
        }
        store.write(KEY, weight(3));
        FakeFleet.await("the larger part", () -> fleet.hasWeight(0, "acme", 3) && fleet.hasWeight(5, "acme", 3));
        store.setDown(true);
        fleet.restart(8);
        for (int cut = 6; cut < INSTANCES; cut++) {
            fleet.cutOff(cut, false);
        }
        fleet.awaitWeight("acme", 3);
        assertTrue(fleet.neverWentBack());
    }

    @Test
    void aRefusalIsWrittenForItsTeamAndClearedWhenMended() {
        store.write(KEY, "{'customers':{'acme':{'weight':0,'apiKeysSha256':[]}}}");
        FakeFleet.await("the refusal", () -> store.entry(SettingsKeys.refusal("floor")) != null);
        Refusal refusal =
                Refusal.parse("floor", entry(SettingsKeys.refusal("floor")).value());
        assertNotNull(refusal);
        assertEquals(ErrorType.SETTINGS_INVALID, refusal.faults().get(0).type());
        assertEquals("/customers/acme/weight", refusal.faults().get(0).pointer());
        store.write(KEY, weight(2));
        fleet.awaitWeight("acme", 2);
        FakeFleet.await("its end", () -> store.entry(SettingsKeys.refusal("floor")) == null);
    }

    @Test
    void silentWatchesDelayAChangeByNoMoreThanThePoll() {
        // Something between the instances and the platform's service forgets all waiting connections, without a word to
        // either end. The next poll sees that the service has moved on, and the watch is opened anew.
        store.write(KEY, weight(2));
        fleet.awaitWeight("acme", 2);
        store.silenceOpenWatches();
        store.write(KEY, weight(3));
        fleet.awaitWeight("acme", 3);
    }

    @Test
    void aServiceRestoredFromABackupRevertsNoInstance() {
        // The platform's service comes back from a backup taken before the last change, drafts included. The fleet
        // stays at the newer weight under a higher number, the team is told, and its next write is in force.
        store.write(KEY, weight(2));
        fleet.awaitWeight("acme", 2);
        Map<String, KeyValueStore.Entry> backup = store.snapshot();
        store.write(KEY, weight(3));
        fleet.awaitWeight("acme", 3);
        store.restore(backup);
        FakeFleet.await("the repair", () -> head().generation() > 2);
        FakeFleet.await("the notice", () -> store.entry(SettingsKeys.refusal("floor")) != null);
        fleet.awaitWeight("acme", 3);
        store.write(KEY, weight(5));
        fleet.awaitWeight("acme", 5);
        assertTrue(fleet.neverWentBack());
    }

    @Test
    void twoContentsUnderOneNumberAreSettledByAHigherOne() {
        // Two acceptors published one number with different contents, each to its own copy of a service that was
        // restored in between. An instance that is no acceptor hears of the other content; an acceptor is told and
        // publishes above both, so that the two sides do not stay apart until the next change.
        store.write(KEY, weight(2));
        fleet.awaitWeight("acme", 2);
        int plain = IntStream.range(0, INSTANCES)
                .filter(number -> !fleet.isAcceptor(number))
                .findFirst()
                .orElseThrow();
        fleet.duty(plain).onMessage(InstanceId.of("entry-other"), new PeerMessage.SettingsHead(1, "ab".repeat(32)));
        FakeFleet.await("a higher number", () -> fleet.duty(plain).generation() > 1);
        assertTrue(fleet.hasWeight(plain, "acme", 2));
    }

    private AcceptedHead head() {
        AcceptedHead head = AcceptedHead.parse(entry(SettingsKeys.HEAD).value());
        assertNotNull(head);
        return head;
    }

    private KeyValueStore.Entry entry(String key) {
        KeyValueStore.Entry entry = store.entry(key);
        assertNotNull(entry);
        return entry;
    }

    private static String weight(int weight) {
        return "{'customers':{'acme':{'weight':" + weight + ",'apiKeysSha256':[]}}}";
    }
}
