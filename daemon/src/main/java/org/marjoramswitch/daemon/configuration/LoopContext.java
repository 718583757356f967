package org.marjoramswitch.daemon.configuration;

import org.marjoramswitch.daemon.peer.PeerSender;
import org.marjoramswitch.daemon.platform.KeyValueStore;
import org.marjoramswitch.kernel.model.InstanceId;

/** The objects that the components of one configuration loop share. */
record LoopContext(
        InstanceId self,
        KeyValueStore store,
        PeerSender peers,
        LoopInbox inbox,
        ActiveSettings activeSettings,
        ConfigurationOptions options,
        ConfigurationMetrics metrics) {}
