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
    void changeBecomesActiveEverywhereWithOnePublication() {
        store.write(KEY, weight(2));
        fleet.awaitWeight("acme", 2);
        assertEquals(1, fleet.count("configuration.publications"));
        assertEquals(1, head().generation());
    }

    @Test
    void secondOfTwoConcurrentWritesFails() {
        // Two operators read the same draft and overwrite it. The second compare-and-swap must fail, so that the first
        // change is active and the second operator reads it before writing again.
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
    void publicationWithLostResponseIsFoundByReading() {
        // The publication takes effect but its response is lost, so its outcome is unknown to the acceptor. The
        // acceptor must read again, find its own generation and not publish a second one.
        store.loseNextResponse();
        store.write(KEY, weight(2));
        fleet.awaitWeight("acme", 2);
        FakeFleet.await("the failed call", () -> fleet.count("configuration.calls_failed") == 1);
        assertEquals(1, head().generation());
        assertEquals(0, fleet.count("configuration.publications"));
    }

    @Test
    void storeOutageDelaysChangeAndRestartedInstanceLearnsFromPeers() {
        // The key-value store goes down before a change is accepted. The old settings must stay active, an instance
        // that restarts without settings must get them from its peers, and the change must be accepted after the
        // outage.
        store.write(KEY, weight(2));
        fleet.awaitWeight("acme", 2);
        store.setDown(true);
        store.write(KEY, weight(3));
        fleet.restart(4);
        FakeFleet.await("settings from peers", () -> fleet.hasWeight(4, "acme", 2));
        assertEquals(1, fleet.loop(0).generation());
        store.setDown(false);
        fleet.awaitWeight("acme", 3);
        assertTrue(fleet.generationsOnlyIncreased());
    }

    @Test
    void instanceWithoutStoreAndPeersIsNotReady() {
        // An instance restarts without settings while the key-value store is down and all its peer links are cut. It
        // must report generation 0 (not ready) until one of the two is available again.
        store.write(KEY, weight(2));
        fleet.awaitWeight("acme", 2);
        store.setDown(true);
        fleet.setPartitioned(4, true);
        long calls = store.calls();
        fleet.restart(4);
        FakeFleet.await("some attempts", () -> store.calls() > calls + 50);
        assertEquals(0, fleet.loop(4).generation());
        fleet.setPartitioned(4, false);
        FakeFleet.await("settings from peers", () -> fleet.loop(4).generation() == 1);
    }

    @Test
    void latePublicationOfStaleAcceptorFails() {
        // An acceptor decides on a draft with weight 2 and is paused during its write. Meanwhile the draft changes to
        // weight 3 and another acceptor publishes it. The delayed write must fail on the head's revision.
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
    void partitionedPeersAdoptNewerGenerationAndRevertNone() {
        // Some instances are partitioned, and the key-value store is down when the links recover. They still announce
        // the old generation, but must adopt the newer one of their peers and not revert them.
        store.write(KEY, weight(2));
        fleet.awaitWeight("acme", 2);
        for (int partitioned = 6; partitioned < INSTANCES; partitioned++) {
            fleet.setPartitioned(partitioned, true);
        }
        store.write(KEY, weight(3));
        FakeFleet.await("the majority", () -> fleet.hasWeight(0, "acme", 3) && fleet.hasWeight(5, "acme", 3));
        store.setDown(true);
        fleet.restart(8);
        for (int partitioned = 6; partitioned < INSTANCES; partitioned++) {
            fleet.setPartitioned(partitioned, false);
        }
        fleet.awaitWeight("acme", 3);
        assertTrue(fleet.generationsOnlyIncreased());
    }

    @Test
    void refusalIsWrittenAndDeletedOnceFixed() {
        store.write(KEY, "{'customers':{'acme':{'weight':0,'apiKeysSha256':[]}}}");
        FakeFleet.await("the refusal", () -> store.entry(SettingsKeys.refusal("floor")) != null);
        Refusal refusal =
                Refusal.parse("floor", entry(SettingsKeys.refusal("floor")).value());
        assertNotNull(refusal);
        assertEquals(ErrorType.SETTINGS_INVALID, refusal.faults().get(0).type());
        assertEquals("/customers/acme/weight", refusal.faults().get(0).pointer());
        store.write(KEY, weight(2));
        fleet.awaitWeight("acme", 2);
        FakeFleet.await("the end of the refusal", () -> store.entry(SettingsKeys.refusal("floor")) == null);
    }

    @Test
    void pollDetectsChangeMissedBySilentWatches() {
        // A middlebox between the instances and the key-value store drops all idle connections without notifying either
        // end. The next poll must detect that the store's revision has increased and re-open the watch.
        store.write(KEY, weight(2));
        fleet.awaitWeight("acme", 2);
        store.silenceOpenWatches();
        store.write(KEY, weight(3));
        fleet.awaitWeight("acme", 3);
    }

    @Test
    void storeRestoredFromBackupRevertsNoInstance() {
        // The key-value store is restored from a backup taken before the last change, including the drafts. The newer
        // weight must stay active under a higher generation, the team must be notified, and its next write must take
        // effect.
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
        assertTrue(fleet.generationsOnlyIncreased());
    }

    @Test
    void contradictingGenerationsAreResolvedByHigherOne() {
        // Two acceptors published the same generation number with different contents, with a restore of the store in
        // between. An instance that is not an acceptor receives the other content's head. It must notify an acceptor,
        // which publishes a higher generation; otherwise the instances would differ until the next change.
        store.write(KEY, weight(2));
        fleet.awaitWeight("acme", 2);
        int plain = IntStream.range(0, INSTANCES)
                .filter(number -> !fleet.isAcceptor(number))
                .findFirst()
                .orElseThrow();
        fleet.loop(plain).onMessage(InstanceId.of("entry-other"), new PeerMessage.SettingsHead(1, "ab".repeat(32)));
        FakeFleet.await("a higher generation", () -> fleet.loop(plain).generation() > 1);
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
