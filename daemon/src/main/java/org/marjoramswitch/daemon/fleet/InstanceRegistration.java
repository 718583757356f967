package org.marjoramswitch.daemon.fleet;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.daemon.platform.KeyValueResult;
import org.marjoramswitch.daemon.platform.KeyValueStore;
import org.marjoramswitch.daemon.settings.LocalSettings;
import org.marjoramswitch.kernel.error.ErrorType;

/**
 * Registers this instance in the platform's list if the platform does not do so itself: an entry with a lease, which is
 * deleted when the instance stops.
 *
 * <p>Instances use the list only to discover each other; the membership determines which ones are alive. The lease is
 * therefore long and seldom renewed, and an outage in which it expires costs only a new entry afterwards.
 *
 * <p>A successful renewal does not prove that the entry exists: if the store was restored from an older copy, entry and
 * lease are gone, and the lease's id may belong to another instance. Only the list shows whether the entry exists. An
 * entry that was listed and is no longer, or is not listed long after it was written, is therefore written again, with
 * a new lease.
 */
public final class InstanceRegistration implements AutoCloseable {
    private static final KeyValueLog LOG = KeyValueLog.of(InstanceRegistration.class);
    private static final String PREFIX = "list/instances/";
    /**
     * Longer than outages of seconds; short enough that addresses of failed instances are soon removed.
     */
    private static final long LEASE_SECONDS = 20;

    private static final long RENEW_MS = 6_000;
    private static final long RETRY_MS = 400;
    /**
     * Maximum random delay before re-registration, so that instances that lost their entries together spread their
     * writes.
     */
    private static final int MAX_REREGISTRATION_DELAY_MS = 2_000;
    /** Exceeds the time after which a new entry is listed, even while a fleet starts. */
    private static final long UNLISTED_TIMEOUT_MS = 10_000;

    private final KeyValueStore store;
    private final String key;
    private final String value;
    private final Thread thread = new Thread(this::run, "registration");
    private final Semaphore entryMissing = new Semaphore(0);
    private final CompletableFuture<Void> firstAttempt = new CompletableFuture<>();
    private volatile boolean listed;
    private long registeredAtNs;
    private long leaseId;

    private InstanceRegistration(KeyValueStore store, LocalSettings settings, long incarnation) {
        this.store = store;
        this.key = PREFIX + settings.instance().name();
        this.value = JsonNodeFactory.instance
                .objectNode()
                .put("callers", settings.callers().toString())
                .put("peers", settings.peers().toString())
                .put("dataCentre", settings.dataCentre().name())
                .put("state", "live")
                .put("incarnation", incarnation)
                .toString();
        thread.setDaemon(true);
    }

    public static InstanceRegistration start(KeyValueStore store, LocalSettings settings, long incarnation) {
        InstanceRegistration registration = new InstanceRegistration(store, settings, incarnation);
        registration.thread.start();
        return registration;
    }

    /** Completes after the first attempt to write the entry, successful or not. */
    public CompletableFuture<?> firstAttempt() {
        return firstAttempt;
    }

    /** Reports whether the list that was read holds this instance; called by one thread only. */
    public void onListRead(boolean isListed) {
        boolean isMissing = listed && !isListed;
        listed = isListed;
        if (isMissing) {
            entryMissing.release();
        }
    }

    /** Deletes the entry; if the store is unreachable, the entry remains until its lease expires. */
    @Override
    public void close() {
        thread.interrupt();
        if (leaseId != 0) {
            CompletableFuture<?> unused = store.revokeLease(leaseId);
        }
    }

    private void run() {
        try {
            while (true) {
                boolean isRegistered = registerOrRenew();
                firstAttempt.complete(null);
                pause(isRegistered ? RENEW_MS : RETRY_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Blocks until the next renewal is due or the entry is no longer listed. */
    private void pause(long waitMs) throws InterruptedException {
        boolean isMissing = entryMissing.tryAcquire(waitMs, TimeUnit.MILLISECONDS);
        if (isMissing) {
            TimeUnit.MILLISECONDS.sleep(ThreadLocalRandom.current().nextInt(MAX_REREGISTRATION_DELAY_MS));
        }
        long registeredAgeMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - registeredAtNs);
        if (leaseId != 0 && !listed && (isMissing || registeredAgeMs > UNLISTED_TIMEOUT_MS)) {
            LOG.info("registration_missing", "key", key);
            leaseId = 0;
        }
    }

    /** Registers the instance or renews its lease; false if that must be retried soon. */
    private boolean registerOrRenew() throws InterruptedException {
        if (leaseId == 0) {
            return register();
        }
        Long remainingSeconds = valueOf(store.renewLease(leaseId), "renew");
        if (remainingSeconds == null) {
            return false;
        }
        if (remainingSeconds <= 0) {
            LOG.info("registration_lapsed", "key", key);
            leaseId = 0;
            return register();
        }
        return true;
    }

    private boolean register() throws InterruptedException {
        Long granted = valueOf(store.grantLease(LEASE_SECONDS), "lease");
        if (granted == null) {
            return false;
        }
        Boolean written = valueOf(store.compareAndSwap(Map.of(), Map.of(key, value), List.of(), granted), "write");
        if (written == null || !written) {
            return false;
        }
        leaseId = granted;
        registeredAtNs = System.nanoTime();
        LOG.info("registered", "key", key);
        return true;
    }

    private static <T> @Nullable T valueOf(CompletableFuture<KeyValueResult<T>> call, String step)
            throws InterruptedException {
        try {
            KeyValueResult<T> result = call.get();
            if (result instanceof KeyValueResult.Answered<T> answered) {
                return answered.value();
            }
            LOG.info("registration_delayed", "type", ErrorType.PLATFORM_UNAVAILABLE, "step", step, "reason", result);
        } catch (ExecutionException e) {
            LOG.error(e, "registration_failed", "error", ErrorType.INTERNAL.number(), "step", step);
        }
        return null;
    }
}
