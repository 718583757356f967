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

/** Some instances' duties over one service, joined by links in memory that can be cut. */
final class FakeFleet implements AutoCloseable {
    private static final ConfigurationOptions QUICK =
            new ConfigurationOptions(2, 200, 30, 400, 2_000, 20, 200, 3, 100, 100);
    private static final long PATIENCE_MS = 20_000;

    private final Supplier<KeyValueStore> stores;
    private final ConfigurationOptions options;
    private final Map<InstanceId, ConfigurationLoop> duties = new ConcurrentSkipListMap<>();
    private final Map<InstanceId, List<FleetSettings>> applied = new ConcurrentHashMap<>();
    private final Map<InstanceId, MetricRegistry> registries = new ConcurrentHashMap<>();
    private final Set<InstanceId> cutOff = ConcurrentHashMap.newKeySet();
    private final Map<String, Long> messages = new ConcurrentHashMap<>();
    private final List<Member> members = new ArrayList<>();

    private FakeFleet(Supplier<KeyValueStore> stores, ConfigurationOptions options) {
        this.stores = stores;
        this.options = options;
    }

    /** @param instances spread over three data centres */
    static FakeFleet start(FakeStore store, int instances) {
        return start(() -> store, QUICK, instances);
    }

    /** @param stores gives each instance its client of the service */
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
        ConfigurationLoop duty = ConfigurationLoop.start(
                member,
                stores.get(),
                (to, message) -> deliver(id, to, message),
                applied.get(id)::add,
                options,
                registries.get(id));
        duties.put(id, duty);
        duty.onView(FleetView.of(members));
    }

    /** Ends an instance without a word and starts it again with nothing. */
    void restart(int number) {
        duties.remove(member(number).id()).close();
        startInstance(member(number));
    }

    /** Cuts all links of an instance, or heals them. */
    void cutOff(int number, boolean cut) {
        if (cut) {
            cutOff.add(member(number).id());
            return;
        }
        cutOff.remove(member(number).id());
    }

    private void deliver(InstanceId from, InstanceId to, PeerMessage message) {
        messages.merge(message.getClass().getSimpleName(), 1L, Long::sum);
        ConfigurationLoop duty = duties.get(to);
        if (duty != null && !cutOff.contains(from) && !cutOff.contains(to)) {
            duty.onMessage(from, message);
        }
    }

    ConfigurationLoop duty(int number) {
        return duties.get(member(number).id());
    }

    /** Messages sent so far, by their kind. */
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

    /** Whether a customer has this weight at the instance. */
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
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PATIENCE_MS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > endNs) {
                throw new AssertionError("not reached: " + what);
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(2));
        }
    }

    /** True where no instance ever went back. */
    boolean neverWentBack() {
        return applied.values().stream().allMatch(FakeFleet::grows);
    }

    private static boolean grows(List<FleetSettings> settings) {
        for (int i = 1; i < settings.size(); i++) {
            if (settings.get(i).generation() <= settings.get(i - 1).generation()) {
                return false;
            }
        }
        return true;
    }

    @Override
    public void close() {
        duties.values().forEach(ConfigurationLoop::close);
    }
}
