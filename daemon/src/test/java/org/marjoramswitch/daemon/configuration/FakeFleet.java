package org.marjoramswitch.daemon.configuration;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.marjoramswitch.daemon.platform.KeyValueStore;
import org.marjoramswitch.kernel.configuration.AcceptorRoles;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.FleetView;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.Member;
import org.marjoramswitch.kernel.settings.CustomerSettings;
import org.marjoramswitch.kernel.settings.FleetSettings;

/** Configuration loops of several instances on one store, connected by in-memory links that can be partitioned. */
final class FakeFleet implements AutoCloseable {
    private static final ConfigurationOptions SHORT_DELAYS =
            new ConfigurationOptions(2, 200, 30, 400, 2_000, 20, 200, 3, 100, 100);
    private static final long AWAIT_TIMEOUT_MS = 20_000;

    private final Supplier<KeyValueStore> stores;
    private final ConfigurationOptions options;
    private final Map<InstanceId, ConfigurationLoop> loops = new ConcurrentSkipListMap<>();
    private final Map<InstanceId, List<FleetSettings>> applied = new ConcurrentHashMap<>();
    private final Map<InstanceId, MetricRegistry> registries = new ConcurrentHashMap<>();
    private final Set<InstanceId> partitioned = ConcurrentHashMap.newKeySet();
    private final Map<String, Long> messages = new ConcurrentHashMap<>();
    private final List<Member> members = new ArrayList<>();

    private FakeFleet(Supplier<KeyValueStore> stores, ConfigurationOptions options) {
        this.stores = stores;
        this.options = options;
    }

    /** @param instances the number of instances, distributed over three data centres */
    static FakeFleet start(FakeStore store, int instances) {
        return start(() -> store, SHORT_DELAYS, instances);
    }

    /** @param stores supplies the store client of each instance */
    static FakeFleet start(Supplier<KeyValueStore> stores, ConfigurationOptions options, int instances) {
        FakeFleet fleet = new FakeFleet(stores, options);
        for (int i = 0; i < instances; i++) {
            fleet.members.add(member(i));
        }
        fleet.members.forEach(fleet::startInstance);
        return fleet;
    }

    static Member member(int number) {
        return Member.of(InstanceId.of("entry-" + number), 1, DataCentreId.of("hall-" + number % 3), false);
    }

    void startInstance(Member member) {
        InstanceId id = member.id();
        applied.put(id, new CopyOnWriteArrayList<>());
        registries.put(id, new MetricRegistry());
        ConfigurationLoop loop = ConfigurationLoop.start(
                member,
                stores.get(),
                (to, message) -> deliver(id, to, message),
                applied.get(id)::add,
                options,
                registries.get(id));
        loops.put(id, loop);
        loop.onView(FleetView.of(members));
    }

    /** Stops an instance without notifying its peers and restarts it without settings. */
    void restart(int number) {
        loops.remove(member(number).id()).close();
        startInstance(member(number));
    }

    /** Cuts or restores all links of an instance. */
    void setPartitioned(int number, boolean isPartitioned) {
        if (isPartitioned) {
            partitioned.add(member(number).id());
            return;
        }
        partitioned.remove(member(number).id());
    }

    private void deliver(InstanceId from, InstanceId to, PeerMessage message) {
        messages.merge(message.getClass().getSimpleName(), 1L, Long::sum);
        ConfigurationLoop loop = loops.get(to);
        if (loop != null && !partitioned.contains(from) && !partitioned.contains(to)) {
            loop.onMessage(from, message);
        }
    }

    ConfigurationLoop loop(int number) {
        return loops.get(member(number).id());
    }

    /** The number of messages of a kind sent so far. */
    long messages(Class<? extends PeerMessage> kind) {
        return messages.getOrDefault(kind.getSimpleName(), 0L);
    }

    boolean isAcceptor(int number) {
        return AcceptorRoles.acceptors(FleetView.of(members), options.acceptorsPerDataCentre())
                .contains(member(number).id());
    }

    List<FleetSettings> applied(int number) {
        return applied.get(member(number).id());
    }

    long count(String counter) {
        return registries.values().stream()
                .mapToLong(registry -> registry.counter(counter).getCount())
                .sum();
    }

    /** Whether the instance's active settings give the customer this weight. */
    boolean hasWeight(int number, String customer, double weight) {
        List<FleetSettings> settings = applied(number);
        if (settings.isEmpty()) {
            return false;
        }
        CustomerSettings found = settings.get(settings.size() - 1).customers().get(CustomerId.of(customer));
        return found != null && found.weight() == weight;
    }

    void awaitWeight(String customer, double weight) {
        for (int i = 0; i < members.size(); i++) {
            int number = i;
            await("weight " + weight + " at " + number, () -> hasWeight(number, customer, weight));
        }
    }

    static void await(String what, BooleanSupplier condition) {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(AWAIT_TIMEOUT_MS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > endNs) {
                throw new AssertionError("not reached: " + what);
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(2));
        }
    }

    /** Whether the generations of every instance have only increased. */
    boolean generationsOnlyIncreased() {
        return applied.values().stream().allMatch(FakeFleet::isIncreasing);
    }

    private static boolean isIncreasing(List<FleetSettings> settings) {
        for (int i = 1; i < settings.size(); i++) {
            if (settings.get(i).generation() <= settings.get(i - 1).generation()) {
                return false;
            }
        }
        return true;
    }

    @Override
    public void close() {
        loops.values().forEach(ConfigurationLoop::close);
    }
}
