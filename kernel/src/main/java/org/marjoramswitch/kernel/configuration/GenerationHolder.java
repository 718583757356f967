package org.marjoramswitch.kernel.configuration;

import java.util.HashMap;
import java.util.Map;

/**
 * Holds the settings generation of one instance. Its number never decreases.
 *
 * <p>Generations arrive from the key-value store and from peers: late, repeatedly and in any order, some from instances
 * that were partitioned for a long time. A generation is adopted only if its number is higher than the held one and not
 * lower than any announced one, and if its bodies match its digest. Whatever the order of arrival, the instance ends up
 * with the highest generation that arrived complete.
 *
 * <p>Generations are ordered by number alone. Two contents with the same number can only occur if the store was
 * restored from a backup and an acceptor that did not know the newest generation then wrote to it. Neither content
 * replaces the other here: each holder keeps its own until an acceptor that has seen both publishes a higher
 * generation, see {@link SettingsAcceptor}.
 *
 * <p>Example: the holder has 5 and a peer announces 7. Generation 6 from a partitioned peer is rejected with
 * {@link Older} because 7 is already active somewhere; 7 is adopted when it arrives.
 */
public final class GenerationHolder {
    private AcceptedTree held = AcceptedTree.NONE;
    private long highestSeen;

    private GenerationHolder() {}

    public static GenerationHolder create() {
        return new GenerationHolder();
    }

    public AcceptedTree held() {
        return held;
    }

    /** The highest generation that any source has announced, including the held one. */
    public long highestSeen() {
        return highestSeen;
    }

    /** Records that a generation exists somewhere in the fleet or the store. */
    public void noteAnnounced(long generation) {
        highestSeen = Math.max(highestSeen, generation);
    }

    /**
     * Adopts a generation if it is newer, complete and consistent; the result states the outcome.
     *
     * @param bodyByTeam all bodies, or those that changed after the held generation
     */
    public Result adopt(long generation, String digest, Map<String, String> bodyByTeam) {
        if (generation < highestSeen || generation <= 0) {
            return new Older(generation, highestSeen);
        }
        if (generation == held.generation()) {
            return digest.equals(held.head().digest())
                    ? new Older(generation, highestSeen)
                    : new Contradiction(generation, digest);
        }
        AcceptedTree tree = AcceptedTree.verified(generation, digest, bodyByTeam);
        if (tree == null) {
            tree = AcceptedTree.verified(generation, digest, mergeIntoHeld(bodyByTeam));
        }
        if (tree == null) {
            return new Incomplete(generation, digest);
        }
        held = tree;
        highestSeen = generation;
        return new Adopted(tree);
    }

    private Map<String, String> mergeIntoHeld(Map<String, String> newer) {
        Map<String, String> bodies = new HashMap<>(held.bodyByTeam());
        bodies.putAll(newer);
        return bodies;
    }

    /** The result of offering a generation. */
    public sealed interface Result {}

    /** The generation is now held. */
    public record Adopted(AcceptedTree tree) implements Result {}

    /** The generation is the held one, or lower than one that is known to exist. */
    public record Older(long generation, long highestSeen) implements Result {}

    /** The generation has the number of the held one but a different digest. */
    public record Contradiction(long generation, String digest) implements Result {}

    /** The bodies do not match the digest, or cannot be parsed. */
    public record Incomplete(long generation, String digest) implements Result {}
}
