package org.marjoramswitch.tool.demo;

import com.codahale.metrics.Metered;
import java.util.ArrayList;
import java.util.List;
import org.marjoramswitch.daemon.Daemon;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.daemon.settings.LocalSettings;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.testkit.platform.KeyValueGateway;

/** A site's instances, in this process but joined by real sockets only. */
final class DemoFleet implements AutoCloseable {
    private static final HostPort FREE_PORT = HostPort.of("127.0.0.1", 0);
    private static final String FLEET_KEY = "demo-fleet-key";
    private static final String LIVE = "live";
    private static final String BYTES_OUT = "peer.bytes_out";

    private final List<Daemon> daemons = new ArrayList<>();

    private DemoFleet() {}

    /** Starts the instances and has the platform list each as soon as its ports are known. */
    static DemoFleet start(DemoSite site, KeyValueGateway platform) {
        DemoFleet fleet = new DemoFleet();
        List<HostPort> addresses = List.of(HostPort.of(platform.host(), platform.port()));
        for (int i = 0; i < site.instances(); i++) {
            String id = "entry-" + (i + 1);
            String dataCentre = site.dataCentre(i);
            Daemon daemon = Daemon.start(LocalSettings.of(
                    InstanceId.of(id), DataCentreId.of(dataCentre), FREE_PORT, FREE_PORT, addresses, FLEET_KEY));
            fleet.daemons.add(daemon);
            platform.putInstance(
                    id,
                    daemon.callersAddress().toString(),
                    daemon.peersAddress().toString(),
                    dataCentre,
                    LIVE);
        }
        return fleet;
    }

    /** True once every instance is ready and knows all others. */
    boolean isReady() {
        return daemons.stream().allMatch(daemon -> daemon.isReady() && daemon.reachableInstances() == daemons.size());
    }

    List<Daemon> daemons() {
        return List.copyOf(daemons);
    }

    List<HostPort> callers() {
        return daemons.stream().map(Daemon::callersAddress).toList();
    }

    /** Bytes that the instances have sent each other over their links. */
    long controlBytes() {
        return daemons.stream()
                .map(daemon -> daemon.metrics().getMeters().get(BYTES_OUT))
                .mapToLong(Metered::getCount)
                .sum();
    }

    @Override
    public void close() {
        daemons.forEach(Daemon::close);
    }
}
