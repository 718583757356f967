package org.marjoramswitch.daemon.configuration;

import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.daemon.platform.KeyValueStore;
import org.marjoramswitch.kernel.configuration.AcceptedTree;
import org.marjoramswitch.kernel.configuration.Draft;
import org.marjoramswitch.kernel.configuration.SettingsKeys;

/** An acceptor's watch on the drafts, with the changes that it brought and that nobody has considered yet. */
final class DraftWatch {
    private static final KeyValueLog LOG = KeyValueLog.of(DraftWatch.class);

    private final LoopContext parts;
    private final Listener listener;
    private final Map<String, Change> pending = new TreeMap<>();
    private @Nullable AutoCloseable watch;
    private int number;
    private long revision;
    private volatile boolean overflowed;

    private DraftWatch(LoopContext parts, Listener listener) {
        this.parts = parts;
        this.listener = listener;
    }

    static DraftWatch of(LoopContext parts, Listener listener) {
        return new DraftWatch(parts, listener);
    }

    boolean isOpen() {
        return watch != null;
    }

    /** The revision up to which the watch is known to have brought every change. */
    long revision() {
        return revision;
    }

    boolean hasPending() {
        return !pending.isEmpty();
    }

    /** Whether an event found the inbox full since the last call; later events would hide the gap. */
    boolean takeOverflow() {
        boolean was = overflowed;
        overflowed = false;
        return was;
    }

    /** Opens the watch, in the place of the one that is open if any. */
    void open(long afterRevision) {
        close();
        int opened = ++number;
        revision = afterRevision;
        watch = parts.store().watch(SettingsKeys.DRAFTS, afterRevision, event -> {
            if (!parts.inbox().offer(nowMs -> on(opened, event, nowMs))) {
                overflowed = true;
            }
        });
    }

    void close() {
        number++;
        if (watch == null) {
            return;
        }
        try {
            watch.close();
        } catch (Exception e) {
            LOG.warn("settings_watch_not_closed", "reason", e);
        }
        watch = null;
    }

    /** Forgets the changes that a generation was decided with. */
    void considered(AcceptedTree tree) {
        pending.entrySet().removeIf(change -> isConsidered(change.getKey(), change.getValue(), tree));
    }

    /** Forgets the changes up to a revision, at which all drafts were read. */
    void considered(long readRevision) {
        pending.values().removeIf(change -> change.revision() <= readRevision);
    }

    private static boolean isConsidered(String key, Change change, AcceptedTree tree) {
        Draft draft = Draft.of(key, "", change.revision());
        return draft == null
                || tree.considers(draft.team(), draft.document(), change.deleted() ? 0 : change.revision());
    }

    private void on(int opened, KeyValueStore.WatchEvent event, long nowMs) {
        if (opened != number) {
            return;
        }
        if (event instanceof KeyValueStore.WatchEvent.Put put) {
            changed(put.entry().key(), new Change(put.entry().modRevision(), false), nowMs);
            return;
        }
        if (event instanceof KeyValueStore.WatchEvent.Deleted deleted) {
            changed(deleted.key(), new Change(deleted.revision(), true), nowMs);
            return;
        }
        close();
        listener.onBroken(nowMs);
    }

    private void changed(String key, Change change, long nowMs) {
        revision = Math.max(revision, change.revision());
        if (isConsidered(key, change, parts.inForce().tree())) {
            return;
        }
        pending.put(key, change);
        listener.onChange(key + "@" + change.revision(), nowMs);
    }

    /** Hears what the watch brings, on the duty's thread. */
    interface Listener {
        /** @param change names the change, the same on every acceptor */
        void onChange(String change, long nowMs);

        /** The watch is closed and has to be opened anew after all was read. */
        void onBroken(long nowMs);
    }

    /**
     * A draft that was written or deleted.
     *
     * @param revision the service's revision of that write
     */
    private record Change(long revision, boolean deleted) {}
}
