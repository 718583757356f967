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

/** The generation that this instance holds, with those who hear of a new one. Used by the duty's thread alone. */
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

    /** The generation in force, 0 for none; any thread may ask. */
    long generation() {
        return generation;
    }

    AcceptedTree tree() {
        return holder.held();
    }

    long highestSeen() {
        return holder.highestSeen();
    }

    /** Notes that a generation exists somewhere. */
    void seen(long announced) {
        holder.noteAnnounced(announced);
    }

    /** Notes that another instance holds this generation with this digest; true where ours has another digest. */
    boolean seen(long announced, String digest) {
        boolean contradicts = announced == holder.held().generation()
                && !digest.equals(holder.held().head().digest());
        // Two contents under one number are settled by a generation above both; an acceptor publishes it because it
        // has to exceed what was seen.
        holder.noteAnnounced(contradicts ? announced + 1 : announced);
        if (contradicts) {
            contradictions.inc();
            LOG.warn("settings_contradiction", "generation", announced, "digest", digest);
        }
        return contradicts;
    }

    /** Puts a generation in force where it is newer than all that is known of; the result says so. */
    GenerationHolder.Result adopt(long offered, String digest, Map<String, String> bodyByTeam, String source) {
        SortedMap<String, String> before = holder.held().bodyByTeam();
        GenerationHolder.Result result = holder.adopt(offered, digest, bodyByTeam);
        if (result instanceof GenerationHolder.Adopted adopted) {
            generation = offered;
            logApplied(adopted.tree(), before, source);
            listeners.forEach(listener -> listener.accept(adopted.tree()));
        } else if (result instanceof GenerationHolder.Contradiction) {
            seen(offered, digest);
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
