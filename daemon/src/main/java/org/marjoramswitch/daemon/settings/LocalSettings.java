package org.marjoramswitch.daemon.settings;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.Member;

/**
 * Settings from the instance's own file; all other settings come from the platform's key-value store.
 *
 * @param callers the address at which callers connect (HTTP)
 * @param peers the address at which peers connect, with TCP and UDP on the same port
 * @param platform the addresses of the platform's key-value store
 * @param fleetKey the secret that all instances of the fleet share
 * @param drainDeadlineMs the maximum time that a graceful shutdown waits for open requests
 * @param maxBodyBytes the maximum size of a request body
 * @param maxWaiting the maximum number of waiting requests at this instance
 * @param processorMillicores the processor time that the instance may use, in thousandths of a core; 0 if unknown
 * @param recordFile the file to which events are recorded for replay; null for none
 */
public record LocalSettings(
        InstanceId instance,
        DataCentreId dataCentre,
        HostPort callers,
        HostPort peers,
        List<HostPort> platform,
        String fleetKey,
        String logLevel,
        long drainDeadlineMs,
        long maxBodyBytes,
        int maxWaiting,
        int processorMillicores,
        @Nullable String recordFile) {
    public static final long DEFAULT_DRAIN_DEADLINE_MS = 120_000;
    public static final long DEFAULT_MAX_BODY_BYTES = 4L << 20;
    public static final int DEFAULT_MAX_WAITING = 2_000;

    /** Creates settings with default values, for an instance without a settings file. */
    public static LocalSettings of(
            InstanceId instance,
            DataCentreId dataCentre,
            HostPort callers,
            HostPort peers,
            List<HostPort> platform,
            String fleetKey) {
        return new LocalSettings(
                instance,
                dataCentre,
                callers,
                peers,
                List.copyOf(platform),
                fleetKey,
                "INFO",
                DEFAULT_DRAIN_DEADLINE_MS,
                DEFAULT_MAX_BODY_BYTES,
                DEFAULT_MAX_WAITING,
                Member.UNKNOWN_PROCESSOR,
                null);
    }

    public LocalSettings withDrainDeadlineMs(long deadlineMs) {
        return new LocalSettings(
                instance,
                dataCentre,
                callers,
                peers,
                platform,
                fleetKey,
                logLevel,
                deadlineMs,
                maxBodyBytes,
                maxWaiting,
                processorMillicores,
                recordFile);
    }

    public LocalSettings withProcessor(int millicores) {
        return new LocalSettings(
                instance,
                dataCentre,
                callers,
                peers,
                platform,
                fleetKey,
                logLevel,
                drainDeadlineMs,
                maxBodyBytes,
                maxWaiting,
                millicores,
                recordFile);
    }
}
