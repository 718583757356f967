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
 * Enters this instance in the platform's list where the platform does not do so itself: an entry under a lease, which
 * goes with the instance.
 *
 * <p>The list only introduces instances to one another; who is alive, the membership knows. So the lease is long, is
 * renewed seldom, and an outage that lets it lapse costs nothing but a new entry afterwards.
 *
 * <p>A renewal that is answered well proves little: when the platform's service has come back from an older copy, entry and
 * lease are gone, and the lease's number may be another's. Only the list itself shows whether the entry is there, so one that
 * it has named and names no more, or has not named long after it was written, is written anew, under a new lease.
 */
public final class InstanceRegistration implements AutoCloseable {
    private static final KeyValueLog LOG = KeyValueLog.of(InstanceRegistration.class);
    private static final String PREFIX = "list/instances/";
    /** Long against outages of seconds, short against the time for which addresses of the dead do harm. */
    private static final long LEASE_SECONDS = 20;

    private static final long RENEW_MS = 6_000;
    private static final long RETRY_MS = 400;
    /** Over which the instances of a fleet spread that miss their entries together. */
    private static final int SPREAD_MS = 2_000;
    /** Above the time after which the list names a new entry, also in a fleet that starts. */
    private static final long UNNAMED_MS = 10_000;

    private final KeyValueStore store;
    private final String key;
    private final String value;
    private final Thread thread = new Thread(this::run, "registration");
    private final Semaphore lost = new Semaphore(0);
    private volatile boolean named;
    private long enteredAtNs;
    private long leaseId;

    private InstanceRegistration(KeyValueStore store, LocalSettings settings) {
        this.store = store;
        this.key = PREFIX + settings.instance().name();
        this.value = JsonNodeFactory.instance
                .objectNode()
                .put("callers", settings.callers().toString())
                .put("peers", settings.peers().toString())
                .put("dataCentre", settings.dataCentre().name())
                .put("state", "live")
                .toString();
        thread.setDaemon(true);
    }

    public static InstanceRegistration start(KeyValueStore store, LocalSettings settings) {
        InstanceRegistration registration = new InstanceRegistration(store, settings);
        registration.thread.start();
        return registration;
    }

    /** The list was read, and names this instance or does not; called by one thread. */
    public void onListRead(boolean isNamed) {
        boolean isLost = named && !isNamed;
        named = isNamed;
        if (isLost) {
            lost.release();
        }
    }

    /** The entry goes; one that stays behind, as the service is away, ends with its lease. */
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
                pause(keepEntry() ? RENEW_MS : RETRY_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Until the time of the next renewal, or until the list names the entry no more. */
    private void pause(long waitMs) throws InterruptedException {
        boolean isLost = lost.tryAcquire(waitMs, TimeUnit.MILLISECONDS);
        if (isLost) {
            TimeUnit.MILLISECONDS.sleep(ThreadLocalRandom.current().nextInt(SPREAD_MS));
        }
        long enteredAgoMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - enteredAtNs);
        if (leaseId != 0 && !named && (isLost || enteredAgoMs > UNNAMED_MS)) {
            LOG.info("registration_missing", "key", key);
            leaseId = 0;
        }
    }

    /** Enters the instance, or renews its lease; false where that has to be tried again soon. */
    private boolean keepEntry() throws InterruptedException {
        if (leaseId == 0) {
            return enter();
        }
        Long leftSeconds = valueOf(store.renewLease(leaseId), "renew");
        if (leftSeconds == null) {
            return false;
        }
        if (leftSeconds <= 0) {
            LOG.info("registration_lapsed", "key", key);
            leaseId = 0;
            return enter();
        }
        return true;
    }

    private boolean enter() throws InterruptedException {
        Long granted = valueOf(store.grantLease(LEASE_SECONDS), "lease");
        if (granted == null) {
            return false;
        }
        Boolean written = valueOf(store.compareAndSwap(Map.of(), Map.of(key, value), List.of(), granted), "write");
        if (written == null || !written) {
            return false;
        }
        leaseId = granted;
        enteredAtNs = System.nanoTime();
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
