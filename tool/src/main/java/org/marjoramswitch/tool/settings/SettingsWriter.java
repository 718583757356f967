package org.marjoramswitch.tool.settings;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.platform.KeyValueResult;
import org.marjoramswitch.daemon.platform.KeyValueStore;

/**
 * Writes settings documents so that operators cannot overwrite changes that they have not seen.
 *
 * <p>Concurrent writes: a document contains the id of the change that wrote it. An operator's file contains the change
 * id of the version that was read, and the write is rejected unless the stored document still has that id. A
 * compare-and-swap on the revision of the compared document closes the gap between reading and writing. Of two
 * operators who changed the same version, exactly one succeeds, and the other receives the stored document with its
 * change id.
 *
 * <p>Lost responses: the store may execute a write whose response is lost, or execute it late. The document is read
 * back:
 * <ul>
 *   <li>If the document or its history contains this write's change id, the write took effect.
 *   <li>If document and history are unchanged, the same compare-and-swap is sent again. Both attempts expect the same
 *       revision, so at most one can take effect, and a late first one is found on the next read.
 *   <li>If the document has another revision, the write can no longer take effect.
 * </ul>
 * The outcome is reported as unknown only if the store stays unavailable.
 *
 * <p>Cost: two reads and one write without failures.
 */
public final class SettingsWriter {
    private static final int MAX_ATTEMPTS = 6;
    private static final long NO_LEASE = 0;

    private final KeyValueStore store;
    private final Pause pause;

    private SettingsWriter(KeyValueStore store, Pause pause) {
        this.store = store;
        this.pause = pause;
    }

    public static SettingsWriter of(KeyValueStore store, Pause pause) {
        return new SettingsWriter(store, pause);
    }

    /** Waits between two attempts; {@code attempt} counts from 1. */
    @FunctionalInterface
    public interface Pause {
        void await(int attempt) throws InterruptedException;
    }

    /**
     * A write request.
     *
     * @param baseChangeId the change id that the stored document must have; empty if there must be no document, null to
     *     replace any version
     */
    public record Put(
            DocumentName name,
            ObjectNode document,
            @Nullable String baseChangeId,
            String changeId,
            String operator,
            long nowMs) {}

    public PutResult put(Put put) throws InterruptedException {
        ReadResult current = read(put.name());
        if (current.failure() != null) {
            return new PutResult.Unavailable(current.failure());
        }
        String base = put.baseChangeId();
        if (base != null && !isBase(current.document(), base)) {
            return new PutResult.Conflict(base, current.document());
        }
        return write(put, current);
    }

    private static boolean isBase(StoredDocument document, String baseChangeId) {
        return baseChangeId.isEmpty()
                ? !document.exists()
                : document.exists() && document.changeId().equals(baseChangeId);
    }

    private PutResult write(Put put, ReadResult base) throws InterruptedException {
        boolean mayHaveTakenEffect = false;
        String reason = "";
        for (int attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
            KeyValueResult<Boolean> result = compareAndSwap(put, base);
            if (result instanceof KeyValueResult.Answered<Boolean> answered && answered.value()) {
                return new PutResult.Written(put.changeId(), false);
            }
            reason = FailureReasons.of(result);
            boolean sent = result instanceof KeyValueResult.Answered || result instanceof KeyValueResult.OutcomeUnknown;
            mayHaveTakenEffect |= result instanceof KeyValueResult.OutcomeUnknown;
            if (!sent && !mayHaveTakenEffect) {
                return new PutResult.Unavailable(reason);
            }
            pause.await(attempt);
            PutResult outcome = resolveByReading(put, base);
            if (outcome != null) {
                return outcome;
            }
        }
        return new PutResult.OutcomeUnknown(put.changeId(), reason);
    }

    private KeyValueResult<Boolean> compareAndSwap(Put put, ReadResult base) {
        String json = DocumentJson.withChangeId(put.document(), put.changeId());
        History history = base.history().with(new History.Change(put.changeId(), put.nowMs(), put.operator(), json));
        Map<String, Long> expected = Map.of(
                put.name().key(), base.document().modRevision(), put.name().historyKey(), base.historyRevision());
        Map<String, String> puts = Map.of(put.name().key(), json, put.name().historyKey(), history.toJson());
        return store.compareAndSwap(expected, puts, List.of(), NO_LEASE).join();
    }

    /** Determines the outcome by reading back; returns null if it is undetermined and the write may be sent again. */
    private @Nullable PutResult resolveByReading(Put put, ReadResult base) {
        ReadResult now = read(put.name());
        if (now.failure() != null) {
            return null;
        }
        if (now.document().changeId().equals(put.changeId()) || now.history().holds(put.changeId())) {
            return new PutResult.Written(put.changeId(), true);
        }
        boolean unchanged = now.document().modRevision() == base.document().modRevision()
                && now.historyRevision() == base.historyRevision();
        if (unchanged) {
            return null;
        }
        return new PutResult.Conflict(base.document().changeId(), now.document());
    }

    private ReadResult read(DocumentName name) {
        KeyValueResult<KeyValueStore.@Nullable Entry> document =
                store.get(name.key()).join();
        if (!(document instanceof KeyValueResult.Answered<KeyValueStore.@Nullable Entry> foundDocument)) {
            return ReadResult.failed(FailureReasons.of(document));
        }
        KeyValueResult<KeyValueStore.@Nullable Entry> history =
                store.get(name.historyKey()).join();
        if (!(history instanceof KeyValueResult.Answered<KeyValueStore.@Nullable Entry> foundHistory)) {
            return ReadResult.failed(FailureReasons.of(history));
        }
        return ReadResult.of(foundDocument.value(), foundHistory.value());
    }

    /** A document and its history; {@code failure} is the reason if they could not be read, otherwise null. */
    private record ReadResult(
            StoredDocument document,
            History history,
            long historyRevision,
            @Nullable String failure) {
        static ReadResult failed(String reason) {
            return new ReadResult(StoredDocument.ABSENT, History.EMPTY, 0, reason);
        }

        static ReadResult of(KeyValueStore.@Nullable Entry document, KeyValueStore.@Nullable Entry history) {
            return new ReadResult(
                    StoredDocument.of(document),
                    history == null ? History.EMPTY : History.parse(history.value()),
                    history == null ? 0 : history.modRevision(),
                    null);
        }
    }
}
