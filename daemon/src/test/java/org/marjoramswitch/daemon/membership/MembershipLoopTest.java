package org.marjoramswitch.daemon.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.kernel.membership.ListedInstance;
import org.marjoramswitch.kernel.membership.MemberAddress;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.FleetView;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.Member;

class MembershipLoopTest {
    private static final HostPort ANY_PORT = HostPort.of("127.0.0.1", 0);
    private static final DataCentreId DATA_CENTRE = DataCentreId.of("leith-a");

    private final List<MembershipLoop> loops = new ArrayList<>();
    private final Map<InstanceId, FleetView> views = new ConcurrentHashMap<>();
    private final Map<InstanceId, Long> seen = new ConcurrentHashMap<>();
    private final MetricRegistry metrics = new MetricRegistry();

    @AfterEach
    void closeAll() {
        loops.forEach(MembershipLoop::close);
    }

    @Test
    void instancesDiscoverEachOtherAndDetectDrainingAndDeparture() throws Exception {
        start("a", "key");
        start("b", "key");
        start("c", "key");
        loops.get(0).listRead(list());
        await(() -> viewSize("a") == 3 && viewSize("b") == 3 && viewSize("c") == 3);
        int port = loops.get(1).boundAddress().getPort();
        assertEquals(HostPort.of("127.0.0.1", port), loops.get(0).addresses().get(InstanceId.of("b")));

        loops.get(2).leave();
        await(() -> views.get(InstanceId.of("a")).eligible().size() == 2);
        assertEquals(3, viewSize("a"));

        loops.get(2).close();
        await(() -> viewSize("a") == 2 && viewSize("b") == 2);
    }

    @Test
    void aNewerGenerationIsReportedWithItsInstance() throws Exception {
        start("a", "key");
        start("b", "key");
        loops.get(0).listRead(list());
        loops.get(0).announceGeneration(12);
        await(() -> Long.valueOf(12).equals(seen.get(InstanceId.of("a"))));
        await(() -> loops.get(1).generations().getOrDefault(InstanceId.of("a"), 0L) == 12);
    }

    @Test
    void unauthenticatedAndMalformedDatagramsAreCountedAndIgnored() throws Exception {
        // The socket receives datagrams from an instance with another fleet key and datagrams of random bytes. Neither
        // sender may enter the view, both are counted, and the instances of the fleet still discover each other.
        start("a", "key");
        start("stranger", "another key");
        start("b", "key");
        loops.get(0).listRead(list());
        loops.get(1).listRead(list());
        Random random = new Random(7);
        try (DatagramSocket socket = new DatagramSocket()) {
            for (int i = 0; i < 100; i++) {
                byte[] bytes = new byte[1 + random.nextInt(1_400)];
                random.nextBytes(bytes);
                socket.send(new DatagramPacket(bytes, bytes.length, loops.get(0).boundAddress()));
            }
        }
        await(() -> viewSize("a") == 2 && viewSize("b") == 2);
        await(() -> metrics.counter("membership.malformed.unauthenticated").getCount() > 0);
        assertTrue(views.get(InstanceId.of("a")).members().containsKey(InstanceId.of("b")));
    }

    private void start(String name, String key) throws Exception {
        InstanceId id = InstanceId.of(name);
        Member self = Member.of(id, 1, DATA_CENTRE, false);
        loops.add(MembershipLoop.start(
                self,
                ANY_PORT,
                key,
                view -> views.put(id, view),
                generation -> seen.put(generation.instance(), generation.generation()),
                name.equals("a") ? metrics : new MetricRegistry()));
    }

    private Map<InstanceId, ListedInstance> list() {
        Map<InstanceId, ListedInstance> list = new HashMap<>();
        for (int i = 0; i < loops.size(); i++) {
            MemberAddress address =
                    MemberAddress.of("127.0.0.1", loops.get(i).boundAddress().getPort());
            list.put(InstanceId.of("listed-" + i), ListedInstance.of(address, DATA_CENTRE));
        }
        return list;
    }

    private int viewSize(String name) {
        FleetView view = views.get(InstanceId.of(name));
        return view == null ? 0 : view.members().size();
    }

    private static void await(BooleanSupplier condition) {
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadlineNs, "the condition was not met in time");
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
        }
    }
}
