package org.marjoramswitch.kernel.crash;

import java.util.List;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.marjoramswitch.kernel.model.PlacementSpec;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.PromptPart;
import org.marjoramswitch.kernel.model.RequestSpec;

/**
 * What may have crashed a target that ran a request: the request as a whole, and each part of its prompt that other
 * requests may share. The last part belongs to the request alone and is left out, which bounds the number of records.
 *
 * @param request digest of the request, 0 if unknown
 * @param promptParts digests of the shared parts, equal at all instances for the same part and pool
 */
public record CrashSuspects(long request, List<Long> promptParts) {
    /** Odd 64-bit constant of the golden ratio, which spreads consecutive numbers over all bits. */
    private static final long SPREAD = 0x9E37_79B9_7F4A_7C15L;

    public static CrashSuspects of(RequestSpec spec) {
        PlacementSpec placement = spec.placement();
        List<PromptPart> prompt = placement == null ? List.of() : placement.prompt();
        List<Long> parts = prompt.stream()
                .limit(Math.max(0, prompt.size() - 1))
                .map(part -> digest(spec.pool(), part))
                .toList();
        return new CrashSuspects(spec.digest(), parts);
    }

    /** Whether the digest is that of the request or of one of its parts. */
    public boolean contains(long digest) {
        return request == digest || promptParts.contains(digest);
    }

    LongStream digests() {
        return Stream.concat(Stream.of(request), promptParts.stream()).mapToLong(Long::longValue);
    }

    private static long digest(PoolId pool, PromptPart part) {
        return Long.rotateLeft(part.id() * SPREAD, Integer.SIZE) ^ pool.name().hashCode() * SPREAD;
    }
}
