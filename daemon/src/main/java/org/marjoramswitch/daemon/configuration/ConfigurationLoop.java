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
 * Event loop that keeps the newest accepted settings active at this instance: a single thread that takes tasks from a
 * bounded ring. {@link SettingsPublisher} communicates with the key-value store and {@link SettingsGossip} with peers;
 * {@link ActiveSettings} holds the active generation.
 *
 * <p>If the ring is full, a task is dropped and counted. Dropped tasks are recovered from: a peer's head or query is
 * sent again, a lost reply of the store ends its round by timeout, and a lost watch event makes the next round read
 * everything. Only the membership view would not be sent again, so the newest one is stored outside the ring.
 */
public final class ConfigurationLoop implements AutoCloseable {
    private static final KeyValueLog LOG = KeyValueLog.of(ConfigurationLoop.class);
    private static final int RING_CAPACITY = 1_024;
    private static final long MAX_WAIT_MS = 1_000;
    private static final long JOIN_MS = 5_000;

    private final ActiveSettings activeSettings;
    private final SettingsGossip gossip;
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
        this.activeSettings = ActiveSettings.create(registry);
        LoopContext context = new LoopContext(self.id(), store, peers, this::offer, activeSettings, options, metrics);
        this.gossip = SettingsGossip.of(context, random.split());
        this.publisher = SettingsPublisher.of(context, random.split());
        this.activeSettings.onAdopted(tree -> listener.onSettings(tree.settings()));
        this.thread = new Thread(this::run, "configuration");
    }

    /**
     * Starts the loop, which reads the accepted settings at once. Gossip partners and the acceptor role are determined
     * from the first membership view on.
     */
    public static ConfigurationLoop start(
            Member self,
            KeyValueStore store,
            PeerSender peers,
            ConfigurationListener listener,
            ConfigurationOptions options,
            MetricRegistry registry) {
        ConfigurationLoop loop = new ConfigurationLoop(self, store, peers, listener, options, registry);
        loop.thread.start();
        return loop;
    }

    /** Handles a peer's message about settings; returns false for any other message. */
    public boolean onMessage(InstanceId from, PeerMessage message) {
        if (message instanceof PeerMessage.SettingsHead head) {
            offer(nowMs -> gossip.onHead(from, head, nowMs));
        } else if (message instanceof PeerMessage.SettingsQuery query) {
            offer(nowMs -> gossip.onQuery(from, query));
        } else if (message instanceof PeerMessage.SettingsBodies bodies) {
            offer(nowMs -> gossip.onBodies(from, bodies, nowMs));
        } else {
            return false;
        }
        return true;
    }

    public void onView(FleetView newest) {
        newestView = newest;
        offer(nowMs -> {});
    }

    /** Handles a generation that the membership protocol announces for a peer. */
    public void onGenerationAnnounced(InstanceId peer, long generation) {
        offer(nowMs -> gossip.onAnnounced(peer, generation, nowMs));
    }

    /** The active generation; 0 while there is none, in which case the instance is not ready. */
    public long generation() {
        return activeSettings.generation();
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
                // A failed task must not end the loop: the instance would never get another generation.
                LOG.error(e, "settings_task_failed");
            }
        }
        publisher.close();
    }

    private void step() throws InterruptedException {
        long dueMs = Math.min(publisher.nextDueMs(), gossip.nextDueMs());
        long waitMs = Math.max(0, Math.min(dueMs - nowMs(), MAX_WAIT_MS));
        LoopTask task = ring.poll(waitMs, TimeUnit.MILLISECONDS);
        long nowMs = nowMs();
        applyNewestView(nowMs);
        if (task != null) {
            task.run(nowMs);
        }
        gossip.tick(nowMs);
        publisher.tick(nowMs);
    }

    private void applyNewestView(long nowMs) {
        FleetView newest = newestView;
        if (newest == null || newest.equals(view)) {
            return;
        }
        view = newest;
        gossip.onView(newest, nowMs);
        publisher.onView(newest, nowMs);
    }

    /** Milliseconds since this object was created; the origin of {@link System#nanoTime} is arbitrary. */
    private long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
    }
}
