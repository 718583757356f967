package org.marjoramswitch.daemon.configuration;

import org.marjoramswitch.daemon.peer.PeerSender;
import org.marjoramswitch.daemon.platform.KeyValueStore;
import org.marjoramswitch.kernel.model.InstanceId;

/** What the parts of one instance's duty share. */
record LoopContext(
        InstanceId self,
        KeyValueStore store,
        PeerSender peers,
        LoopInbox inbox,
        ActiveSettings inForce,
        ConfigurationOptions options,
        ConfigurationMetrics metrics) {}
