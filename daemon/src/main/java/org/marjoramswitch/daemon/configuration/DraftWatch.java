package org.marjoramswitch.daemon.configuration;

import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.daemon.platform.KeyValueStore;
import org.marjoramswitch.kernel.configuration.AcceptedTree;
import org.marjoramswitch.kernel.configuration.Draft;
import org.marjoramswitch.kernel.configuration.SettingsKeys;

/** Watches the drafts for an acceptor and collects the changes that no generation has considered yet. */
final class DraftWatch {
    private static final KeyValueLog LOG = KeyValueLog.of(DraftWatch.class);

    private final LoopContext context;
    private final Listener listener;
    private final Map<String, Change> pending = new TreeMap<>();
    private @Nullable AutoCloseable watch;
    private int watchNumber;
    private long revision;
    private volatile boolean overflowed;

    private DraftWatch(LoopContext context, Listener listener) {
        this.context = context;
        this.listener = listener;
    }

    static DraftWatch of(LoopContext context, Listener listener) {
        return new DraftWatch(context, listener);
    }

    boolean isOpen() {
        return watch != null;
    }

    /** The revision up to which the watch is known to have delivered every change. */
    long revision() {
        return revision;
    }

    boolean hasPending() {
        return !pending.isEmpty();
    }

    /**
     * Whether an event has been dropped since the last call because the inbox was full. Later events do not reveal the
     * gap.
     */
    boolean getAndClearOverflow() {
        boolean wasOverflowed = overflowed;
        overflowed = false;
        return wasOverflowed;
    }

    /** Opens the watch, replacing an open one. */
    void open(long afterRevision) {
        close();
        int openedNumber = ++watchNumber;
        revision = afterRevision;
        watch = context.store().watch(SettingsKeys.DRAFTS, afterRevision, event -> {
            if (!context.inbox().offer(nowMs -> onEvent(openedNumber, event, nowMs))) {
                overflowed = true;
            }
        });
    }

    void close() {
        watchNumber++;
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

    /** Drops the pending changes that a generation considers. */
    void dropConsidered(AcceptedTree tree) {
        pending.entrySet().removeIf(change -> isConsidered(change.getKey(), change.getValue(), tree));
    }

    /** Drops the pending changes up to a revision at which all drafts were read. */
    void dropUpTo(long readRevision) {
        pending.values().removeIf(change -> change.revision() <= readRevision);
    }

    private static boolean isConsidered(String key, Change change, AcceptedTree tree) {
        Draft draft = Draft.of(key, "", change.revision());
        return draft == null
                || tree.considers(draft.team(), draft.document(), change.deleted() ? 0 : change.revision());
    }

    private void onEvent(int openedNumber, KeyValueStore.WatchEvent event, long nowMs) {
        if (openedNumber != watchNumber) {
            return;
        }
        if (event instanceof KeyValueStore.WatchEvent.Put put) {
            addChange(put.entry().key(), new Change(put.entry().modRevision(), false), nowMs);
            return;
        }
        if (event instanceof KeyValueStore.WatchEvent.Deleted deleted) {
            addChange(deleted.key(), new Change(deleted.revision(), true), nowMs);
            return;
        }
        close();
        listener.onBroken(nowMs);
    }

    private void addChange(String key, Change change, long nowMs) {
        revision = Math.max(revision, change.revision());
        if (isConsidered(key, change, context.activeSettings().tree())) {
            return;
        }
        pending.put(key, change);
        listener.onChange(key + "@" + change.revision(), nowMs);
    }

    /** Receives the changes that the watch delivers, on the loop's thread. */
    interface Listener {
        /** @param change an identifier of the change that is the same on every acceptor */
        void onChange(String change, long nowMs);

        /** The watch is closed; it must be opened again after all drafts have been read. */
        void onBroken(long nowMs);
    }

    /**
     * A written or deleted draft.
     *
     * @param revision the store revision of the write or deletion
     */
    private record Change(long revision, boolean deleted) {}
}
