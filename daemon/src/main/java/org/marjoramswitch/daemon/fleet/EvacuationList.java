package org.marjoramswitch.daemon.fleet;

import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.daemon.platform.KeyValueStore.Entry;
import org.marjoramswitch.daemon.platform.LoggedEntries;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.Evacuations;
import org.marjoramswitch.kernel.wire.WireNames;

/**
 * Reads which data centres the operators have evacuated: one key below a prefix for each, whose last segment is the data
 * centre's name. Only the key counts; a key without a name or with further segments is logged and ignored.
 *
 * <p>Not thread-safe; used on the thread that follows the prefix.
 */
public final class EvacuationList {
    private static final KeyValueLog LOG = KeyValueLog.of(EvacuationList.class);

    private final String prefix;
    private final Consumer<Evacuations> listener;
    private final LoggedEntries logged = LoggedEntries.create();
    private @Nullable Evacuations last;

    private EvacuationList(String prefix, Consumer<Evacuations> listener) {
        this.prefix = prefix;
        this.listener = listener;
    }

    /** @param listener receives the evacuated data centres at each revision of the entries */
    public static EvacuationList of(String prefix, Consumer<Evacuations> listener) {
        return new EvacuationList(prefix, listener);
    }

    /** Applies the entries of the store at a revision; entries outside the prefix are ignored. */
    public void onEntries(Collection<Entry> entries, long revision) {
        Set<DataCentreId> dataCentres = new TreeSet<>();
        for (Entry entry : entries) {
            if (entry.key().startsWith(prefix)) {
                add(entry, dataCentres);
            }
        }
        // An unchanged list of a newer revision is reported too: it may supersede one that was learned from a peer.
        Evacuations read = Evacuations.of(revision, dataCentres);
        if (!read.equals(last)) {
            last = read;
            listener.accept(read);
        }
    }

    private void add(Entry entry, Set<DataCentreId> dataCentres) {
        String name = entry.key().substring(prefix.length());
        if (!name.isBlank() && name.indexOf('/') < 0 && WireNames.isValid(name)) {
            dataCentres.add(DataCentreId.of(name));
        } else if (logged.add(entry)) {
            LOG.warn("evacuation_entry_malformed", "type", ErrorType.FLEET_LIST_INVALID, "key", entry.key());
        }
    }
}
