package org.marjoramswitch.daemon.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.daemon.peer.PeerSender;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.message.PeerMessage.WatchedEntry;
import org.marjoramswitch.kernel.model.FleetView;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.Member;
import org.marjoramswitch.kernel.watch.WatchAction;
import org.marjoramswitch.kernel.watch.WatchSharing;
import org.xnio.XnioExecutor;

/**
 * Key-value store whose watches the instances of a data centre share, see {@link WatchSharing}. All other calls are
 * forwarded to the underlying store.
 *
 * <p>A watch of a prefix that was not read completely beforehand is forwarded too: without the entries, the updates
 * that peers send cannot be compared with them.
 *
 * <p>An instance that starts while the store is unreachable reads each prefix from a peer: without the list of targets
 * it would reject all of its callers until the store returns. A copy is as recent as the peer's own entries, and the
 * peers' heartbeats reveal any change that it lacks. An instance that has read a prefix before keeps those entries
 * instead, and applies the changes that peers send.
 *
 * <p>A watch whose connection to the store breaks reports {@link WatchEvent.Broken} and then the changes that peers
 * send, until it is closed. Its owner keeps it until it has read the prefix again.
 */
public final class SharedWatchStore extends ForwardingKeyValueStore {
    private static final KeyValueLog LOG = KeyValueLog.of(SharedWatchStore.class);
    /** Heartbeat interval of the watchers. Each heartbeat wakes every instance, which rules out a shorter interval. */
    private static final long TICK_MS = 500;
    /** Peers asked for a copy at a time; one of them may have just started, too. */
    private static final int PEERS_ASKED = 2;
    /** Long enough for a link to open and a copy to arrive; the next read asks other peers. */
    private static final long COPY_TIMEOUT_MS = 400;

    private final PeerSender peers;
    private final LongSupplier clockMs;
    private final XnioExecutor timer;
    private final WatchSharing sharing;
    private final Map<String, Range> lastRead = new HashMap<>();
    private final Map<String, Consumer<WatchEvent>> listeners = new HashMap<>();
    private final Map<String, OwnWatch> ownWatches = new HashMap<>();
    /** Reads that wait for a peer's copy. */
    private final Map<String, CompletableFuture<Optional<Range>>> awaitedCopies = new HashMap<>();

    private final Set<String> everRead = new HashSet<>();
    private int peersAsked;
    private boolean closed;

    private SharedWatchStore(
            KeyValueStore store, Member self, PeerSender peers, LongSupplier clockMs, XnioExecutor timer) {
        super(store);
        this.peers = peers;
        this.clockMs = clockMs;
        this.timer = timer;
        this.sharing = WatchSharing.create(self, clockMs.getAsLong());
    }

    /**
     * Shares the watches of a store that reports {@link WatchEvent.Progress}.
     *
     * @param timer the executor of the periodic ticks
     */
    public static SharedWatchStore start(
            KeyValueStore store, Member self, PeerSender peers, LongSupplier clockMs, XnioExecutor timer) {
        SharedWatchStore shared = new SharedWatchStore(store, self, peers, clockMs, timer);
        shared.scheduleTick();
        return shared;
    }

    /** Updates the set of live instances. */
    public synchronized void onView(FleetView view) {
        sharing.onView(view, clockMs.getAsLong());
    }

    /** Handles a peer's message about watches; false for any other message. */
    public synchronized boolean onMessage(InstanceId from, PeerMessage message) {
        if (message instanceof PeerMessage.WatchCopy copy) {
            completeCopy(copy);
        }
        return sharing.onMessage(from, message, clockMs.getAsLong(), this::perform);
    }

    @Override
    public CompletableFuture<KeyValueResult<Range>> range(String prefix) {
        return super.range(prefix).thenCompose(result -> {
            if (result instanceof KeyValueResult.Answered<Range> answered) {
                recordRead(prefix, answered.value());
                return CompletableFuture.completedFuture(result);
            }
            return copyOfPeer(prefix).thenApply(copy -> copy.isEmpty() ? result : answeredByPeer(prefix, copy.get()));
        });
    }

    private KeyValueResult<Range> answeredByPeer(String prefix, Range copy) {
        LOG.info(
                "prefix_copied",
                "prefix",
                prefix,
                "revision",
                copy.revision(),
                "entries",
                copy.entries().size());
        recordRead(prefix, copy);
        return new KeyValueResult.Answered<>(copy, copy.revision());
    }

    /** Requests a copy of a prefix that this instance has never read; empty if no peer sends one in time. */
    private synchronized CompletableFuture<Optional<Range>> copyOfPeer(String prefix) {
        List<InstanceId> holders = sharing.copyHolders();
        if (closed || holders.isEmpty() || everRead.contains(prefix)) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        CompletableFuture<Optional<Range>> copy =
                awaitedCopies.computeIfAbsent(prefix, missing -> new CompletableFuture<>());
        for (int i = 0; i < Math.min(PEERS_ASKED, holders.size()); i++) {
            peers.send(holders.get(Math.floorMod(peersAsked++, holders.size())), new PeerMessage.WatchQuery(prefix));
        }
        timer.executeAfter(() -> endCopy(prefix, copy), COPY_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        return copy;
    }

    private void endCopy(String prefix, CompletableFuture<Optional<Range>> copy) {
        synchronized (this) {
            awaitedCopies.remove(prefix, copy);
        }
        copy.complete(Optional.empty());
    }

    private void completeCopy(PeerMessage.WatchCopy copy) {
        CompletableFuture<Optional<Range>> awaited = awaitedCopies.remove(copy.prefix());
        if (awaited == null) {
            return;
        }
        List<Entry> entries = copy.entries().stream()
                .filter(entry -> entry.value() != null)
                .map(SharedWatchStore::toEntry)
                .toList();
        // Completed on another thread, since the reader of the prefix runs as part of the completion.
        timer.execute(() -> awaited.complete(Optional.of(new Range(entries, copy.revision()))));
    }

    @Override
    public synchronized AutoCloseable watch(String prefix, long afterRevision, Consumer<WatchEvent> listener) {
        Range read = lastRead.remove(prefix);
        if (read == null || read.revision() != afterRevision) {
            return super.watch(prefix, afterRevision, listener);
        }
        listeners.put(prefix, listener);
        List<WatchedEntry> entries =
                read.entries().stream().map(SharedWatchStore::toWatchedEntry).toList();
        sharing.follow(prefix, afterRevision, entries, clockMs.getAsLong(), this::perform);
        return () -> unwatch(prefix, listener);
    }

    @Override
    public void close() {
        synchronized (this) {
            closed = true;
            List.copyOf(ownWatches.keySet()).forEach(this::stopOwnWatch);
        }
        super.close();
    }

    private synchronized void recordRead(String prefix, Range range) {
        lastRead.put(prefix, range);
        everRead.add(prefix);
    }

    private synchronized void unwatch(String prefix, Consumer<WatchEvent> listener) {
        if (listeners.remove(prefix, listener)) {
            stopOwnWatch(prefix);
            sharing.unfollow(prefix);
        }
    }

    private void scheduleTick() {
        try {
            timer.executeAfter(this::tick, TICK_MS, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            LOG.debug("shared_watches_closed_late", "reason", String.valueOf(e.getMessage()));
        }
    }

    private synchronized void tick() {
        if (closed) {
            return;
        }
        try {
            sharing.onTick(clockMs.getAsLong(), this::perform);
        } catch (RuntimeException fault) {
            // Without ticks this instance would never detect that its watchers have failed.
            LOG.error(fault, "shared_watches_tick_failed", "error", ErrorType.INTERNAL.number());
        }
        scheduleTick();
    }

    private void perform(WatchAction action) {
        if (action instanceof WatchAction.Send send) {
            peers.send(send.to(), send.message());
        } else if (action instanceof WatchAction.Notify notification) {
            Consumer<WatchEvent> listener = listeners.get(notification.prefix());
            if (listener != null) {
                listener.accept(toWatchEvent(notification.change()));
            }
        } else if (action instanceof WatchAction.StartWatch start) {
            LOG.info("watch_own", "prefix", start.prefix(), "afterRevision", start.afterRevision());
            OwnWatch own = new OwnWatch(start.prefix());
            ownWatches.put(start.prefix(), own);
            own.watch = super.watch(start.prefix(), start.afterRevision(), own::onEvent);
        } else if (action instanceof WatchAction.StopWatch stop) {
            LOG.info("watch_by_peers", "prefix", stop.prefix());
            stopOwnWatch(stop.prefix());
        }
    }

    private void stopOwnWatch(String prefix) {
        OwnWatch own = ownWatches.remove(prefix);
        if (own == null || own.watch == null) {
            return;
        }
        try {
            own.watch.close();
        } catch (Exception e) {
            LOG.debug("watch_not_closed", "prefix", prefix, "reason", e);
        }
    }

    private synchronized void onOwnWatchEvent(OwnWatch own, WatchEvent event) {
        String prefix = own.prefix;
        if (ownWatches.get(prefix) != own) {
            return;
        }
        if (event instanceof WatchEvent.Progress seen) {
            List<WatchedEntry> changes = List.copyOf(own.changes);
            own.changes.clear();
            sharing.onWatchUpdate(prefix, seen.revision(), changes, clockMs.getAsLong(), this::perform);
        } else if (event instanceof WatchEvent.Put put) {
            own.changes.add(toWatchedEntry(put.entry()));
        } else if (event instanceof WatchEvent.Deleted deleted) {
            own.changes.add(WatchedEntry.removed(deleted.key(), deleted.revision()));
        } else {
            ownWatches.remove(prefix);
            sharing.onWatchClosed(prefix);
            Consumer<WatchEvent> listener = listeners.get(prefix);
            if (listener != null) {
                listener.accept(event);
            }
        }
    }

    private static WatchedEntry toWatchedEntry(Entry entry) {
        return new WatchedEntry(entry.key(), entry.value(), entry.createRevision(), entry.modRevision());
    }

    private static WatchEvent toWatchEvent(WatchedEntry change) {
        String value = change.value();
        long revision = change.revision();
        return value == null ? new WatchEvent.Deleted(change.key(), revision) : new WatchEvent.Put(toEntry(change));
    }

    private static Entry toEntry(WatchedEntry entry) {
        String value = Objects.requireNonNull(entry.value());
        return new Entry(entry.key(), value, entry.createRevision(), entry.revision(), entry.revision(), 0);
    }

    /** This instance's own watch of a prefix, and the changes received since its last progress event. */
    private final class OwnWatch {
        private final String prefix;
        private final List<WatchedEntry> changes = new ArrayList<>();
        private @Nullable AutoCloseable watch;

        private OwnWatch(String prefix) {
            this.prefix = prefix;
        }

        private void onEvent(WatchEvent event) {
            onOwnWatchEvent(this, event);
        }
    }
}
