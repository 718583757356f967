package org.marjoramswitch.kernel.configuration;

import java.util.List;
import org.marjoramswitch.kernel.model.PoolId;

/** A conflict between documents that are each valid on their own. */
sealed interface Conflict {

    /** A name that is defined more than once. */
    record Duplicate(Definition.Name name, List<Definition> definitions) implements Conflict {}

    /** A pool that targets reference but no document defines. */
    record MissingPool(PoolId pool, List<Definition> targets) implements Conflict {}
}
