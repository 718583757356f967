package org.marjoramswitch.daemon.settings;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.Member;

/**
 * What an instance learns from its own settings file; all else comes from the platform's service.
 *
 * @param callers where callers connect (HTTP)
 * @param peers where peers connect, by TCP and by UDP at the same port
 * @param platform addresses of the platform's key-value service
 * @param fleetKey the secret that all instances of the fleet share
 * @param drainDeadlineMs how long a graceful shutdown may wait for its requests
 * @param maxBodyBytes the largest request body taken
 * @param maxWaiting the most requests that may wait at this instance in all
 * @param processorMillicores the processor time that the instance may use, in thousandths of a core; 0 where unknown
 * @param recordFile where events for replay are written, null for none
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

    /** Settings with every default, for an instance that is not read from a file. */
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
