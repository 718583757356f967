package org.marjoramswitch.daemon.configuration;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.function.Consumer;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.kernel.configuration.AcceptedTree;
import org.marjoramswitch.kernel.configuration.GenerationHolder;

/**
 * Holds the active settings generation of this instance and notifies listeners of a new one. Only the loop's thread may
 * use it, except for {@link #generation}.
 */
final class ActiveSettings {
    private static final KeyValueLog LOG = KeyValueLog.of(ActiveSettings.class);

    private final GenerationHolder holder = GenerationHolder.create();
    private final List<Consumer<AcceptedTree>> listeners = new ArrayList<>();
    private final Counter contradictions;
    private final Counter incomplete;
    private volatile long generation;

    private ActiveSettings(MetricRegistry registry) {
        contradictions = registry.counter("configuration.contradictions");
        incomplete = registry.counter("configuration.incomplete");
        registry.gauge("configuration.generation", () -> () -> generation);
    }

    static ActiveSettings create(MetricRegistry registry) {
        return new ActiveSettings(registry);
    }

    void onAdopted(Consumer<AcceptedTree> listener) {
        listeners.add(listener);
    }

    /** The active generation, 0 for none. Thread-safe. */
    long generation() {
        return generation;
    }

    AcceptedTree tree() {
        return holder.held();
    }

    long highestSeen() {
        return holder.highestSeen();
    }

    /** Records that a generation exists somewhere in the fleet or the store. */
    void noteAnnounced(long announced) {
        holder.noteAnnounced(announced);
    }

    /**
     * Records that another instance holds this generation with this digest; returns true if the generation held here
     * has the same number but another digest.
     */
    boolean noteAnnounced(long announced, String digest) {
        boolean contradicts = announced == holder.held().generation()
                && !digest.equals(holder.held().head().digest());
        // Two contents with the same number are resolved by a higher generation. Recording the next number makes an
        // acceptor publish one, as it has to exceed the highest number seen.
        holder.noteAnnounced(contradicts ? announced + 1 : announced);
        if (contradicts) {
            contradictions.inc();
            LOG.warn("settings_contradiction", "generation", announced, "digest", digest);
        }
        return contradicts;
    }

    /** Activates a generation if the holder adopts it, and notifies the listeners. */
    GenerationHolder.Result adopt(long offered, String digest, Map<String, String> bodyByTeam, String source) {
        SortedMap<String, String> before = holder.held().bodyByTeam();
        GenerationHolder.Result result = holder.adopt(offered, digest, bodyByTeam);
        if (result instanceof GenerationHolder.Adopted adopted) {
            generation = offered;
            logApplied(adopted.tree(), before, source);
            listeners.forEach(listener -> listener.accept(adopted.tree()));
        } else if (result instanceof GenerationHolder.Contradiction) {
            noteAnnounced(offered, digest);
        } else if (result instanceof GenerationHolder.Incomplete) {
            incomplete.inc();
        }
        return result;
    }

    private static void logApplied(AcceptedTree tree, SortedMap<String, String> before, String source) {
        List<String> changed = tree.bodyByTeam().entrySet().stream()
                .filter(body -> !body.getValue().equals(before.get(body.getKey())))
                .map(Map.Entry::getKey)
                .toList();
        LOG.info(
                "generation_applied",
                "generation",
                tree.generation(),
                "digest",
                tree.head().digest(),
                "source",
                source,
                "teams",
                String.join(",", changed));
    }
}
