package org.marjoramswitch.daemon.configuration;

import com.codahale.metrics.MetricRegistry;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.jctools.queues.MpscBlockingConsumerArrayQueue;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.daemon.peer.PeerSender;
import org.marjoramswitch.daemon.platform.KeyValueStore;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.model.FleetView;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.Member;

/**
 * The duty that keeps the newest accepted settings in force at this instance: one thread that reads its tasks from one
 * bounded ring. {@link SettingsPublisher} speaks with the platform's service, {@link SettingsGossip} with peers, and
 * {@link ActiveSettings} holds what is in force.
 *
 * <p>When the ring is full a task is dropped and counted, and each kind is made up for: a peer's head or query comes
 * again, a lost reply of the service ends its round by timeout, a lost event of the watch makes the next round read
 * all. Only the membership view would not come again, so the newest one is kept beside the ring.
 */
public final class ConfigurationLoop implements AutoCloseable {
    private static final KeyValueLog LOG = KeyValueLog.of(ConfigurationLoop.class);
    private static final int RING_CAPACITY = 1_024;
    private static final long MAX_WAIT_MS = 1_000;
    private static final long JOIN_MS = 5_000;

    private final ActiveSettings inForce;
    private final SettingsGossip spreader;
    private final SettingsPublisher publisher;
    private final ConfigurationMetrics metrics;
    private final MpscBlockingConsumerArrayQueue<LoopTask> ring = new MpscBlockingConsumerArrayQueue<>(RING_CAPACITY);
    private final Thread thread;
    private final long startNs = System.nanoTime();
    private volatile @Nullable FleetView newestView;
    private volatile boolean closed;
    private @Nullable FleetView view;

    private ConfigurationLoop(
            Member self,
            KeyValueStore store,
            PeerSender peers,
            ConfigurationListener listener,
            ConfigurationOptions options,
            MetricRegistry registry) {
        SplittableRandom random = new SplittableRandom(self.id().hashCode() ^ self.incarnation());
        this.metrics = ConfigurationMetrics.in(registry);
        this.inForce = ActiveSettings.create(registry);
        LoopContext parts = new LoopContext(self.id(), store, peers, this::offer, inForce, options, metrics);
        this.spreader = SettingsGossip.of(parts, random.split());
        this.publisher = SettingsPublisher.of(parts, random.split());
        this.inForce.onAdopted(tree -> listener.onSettings(tree.settings()));
        this.thread = new Thread(this::run, "configuration");
    }

    /** Starts the duty; with the first view it takes its part. */
    public static ConfigurationLoop start(
            Member self,
            KeyValueStore store,
            PeerSender peers,
            ConfigurationListener listener,
            ConfigurationOptions options,
            MetricRegistry registry) {
        ConfigurationLoop duty = new ConfigurationLoop(self, store, peers, listener, options, registry);
        duty.thread.start();
        return duty;
    }

    /** Takes a peer's message about settings; false for any other. */
    public boolean onMessage(InstanceId from, PeerMessage message) {
        if (message instanceof PeerMessage.SettingsHead head) {
            offer(nowMs -> spreader.onHead(from, head, nowMs));
        } else if (message instanceof PeerMessage.SettingsQuery query) {
            offer(nowMs -> spreader.onQuery(from, query));
        } else if (message instanceof PeerMessage.SettingsBodies bodies) {
            offer(nowMs -> spreader.onBodies(from, bodies, nowMs));
        } else {
            return false;
        }
        return true;
    }

    /** Takes a new membership view. */
    public void onView(FleetView newest) {
        newestView = newest;
        offer(nowMs -> {});
    }

    /** Takes the generation that the membership announces for a peer. */
    public void onGenerationAnnounced(InstanceId peer, long generation) {
        offer(nowMs -> spreader.onSeen(peer, generation, nowMs));
    }

    /** The generation in force here; 0 while there is none and the instance is not ready. */
    public long generation() {
        return inForce.generation();
    }

    @Override
    public void close() {
        closed = true;
        offer(nowMs -> {});
        try {
            thread.join(JOIN_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean offer(LoopTask task) {
        if (ring.offer(task)) {
            return true;
        }
        metrics.inboxFull().inc();
        return false;
    }

    private void run() {
        while (!closed) {
            try {
                step();
            } catch (InterruptedException e) {
                closed = true;
            } catch (RuntimeException e) {
                // One task that fails must not end the duty: the instance would keep its generation for ever.
                LOG.error(e, "settings_task_failed");
            }
        }
        publisher.close();
    }

    private void step() throws InterruptedException {
        long dueMs = Math.min(publisher.nextMs(), spreader.nextMs());
        long waitMs = Math.max(0, Math.min(dueMs - nowMs(), MAX_WAIT_MS));
        LoopTask task = ring.poll(waitMs, TimeUnit.MILLISECONDS);
        long nowMs = nowMs();
        takeView(nowMs);
        if (task != null) {
            task.run(nowMs);
        }
        spreader.tick(nowMs);
        publisher.tick(nowMs);
    }

    private void takeView(long nowMs) {
        FleetView newest = newestView;
        if (newest == null || newest.equals(view)) {
            return;
        }
        view = newest;
        spreader.onView(newest, nowMs);
        publisher.onView(newest, nowMs);
    }

    /** Since the duty was made, as the origin of {@link System#nanoTime} may lie anywhere. */
    private long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
    }
}
