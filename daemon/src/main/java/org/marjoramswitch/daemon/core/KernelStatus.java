package org.marjoramswitch.daemon.core;

import java.util.List;
import org.marjoramswitch.kernel.InstanceKernel;
import org.marjoramswitch.kernel.model.CellId;
import org.marjoramswitch.kernel.settings.TargetSettings;

/**
 * Snapshot of the kernel's state for other threads; may be some milliseconds old.
 *
 * @param recordedStreams streams whose software version this instance knows
 * @param arbitratedCells cells of which this instance is the arbiter
 * @param arbitratedTargets targets whose load this instance must poll
 */
public record KernelStatus(
        long generation,
        int openRequests,
        int waitingRequests,
        int recordedStreams,
        List<CellId> arbitratedCells,
        List<TargetSettings> arbitratedTargets) {
    public static final KernelStatus NONE = new KernelStatus(0, 0, 0, 0, List.of(), List.of());

    static KernelStatus of(InstanceKernel kernel) {
        return new KernelStatus(
                kernel.settings().generation(),
                kernel.openRequests(),
                kernel.waitingRequests(),
                kernel.recordedStreams(),
                kernel.arbitratedCells(),
                kernel.arbitratedTargets());
    }
}
