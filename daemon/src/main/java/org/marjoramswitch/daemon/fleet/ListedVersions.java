package org.marjoramswitch.daemon.fleet;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.daemon.platform.KeyValueStore;
import org.marjoramswitch.daemon.platform.KeyValueStore.WatchEvent;
import org.marjoramswitch.kernel.stream.PersistedVersions.PersistedVersion;

/** Reads which software versions the list of targets has named since a revision, also those that have left. */
@FunctionalInterface
public interface ListedVersions {
    /** Completes with the versions, or with those that could be read. */
    CompletableFuture<List<PersistedVersion>> since(long revision);

    /**
     * Reads them from the store's history of the list.
     *
     * @param targetPrefix the key prefix under which targets register themselves
     * @param maxWaitMs how long to wait for the history; it arrives at once if the list has changed
     */
    static ListedVersions of(
            KeyValueStore store, String targetPrefix, TargetList.Decoder decoder, Delay delay, long maxWaitMs) {
        return revision -> {
            Set<PersistedVersion> versions = ConcurrentHashMap.newKeySet();
            CompletableFuture<List<PersistedVersion>> read = new CompletableFuture<>();
            AutoCloseable watch = store.watch(targetPrefix, revision, event -> {
                if (event instanceof WatchEvent.Put put) {
                    decoder.decode(put.entry())
                            .map(TargetList.ListedTarget::settings)
                            .ifPresent(target -> versions.add(
                                    new PersistedVersion(target.pool(), target.softwareVersion(), true, 0)));
                } else if (!(event instanceof WatchEvent.Deleted)) {
                    read.complete(List.copyOf(versions));
                }
            });
            delay.after(maxWaitMs, () -> read.complete(List.copyOf(versions)));
            return read.whenComplete((result, fault) -> close(watch));
        };
    }

    private static void close(AutoCloseable watch) {
        try {
            watch.close();
        } catch (Exception e) {
            KeyValueLog.of(ListedVersions.class).warn("watch_not_closed", "reason", e.toString());
        }
    }
}
