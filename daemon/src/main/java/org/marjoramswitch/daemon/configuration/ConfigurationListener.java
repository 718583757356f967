package org.marjoramswitch.daemon.configuration;

import org.marjoramswitch.kernel.settings.FleetSettings;

/** Receives each generation that becomes active, in increasing order. Called on the loop's thread; must not block. */
@FunctionalInterface
public interface ConfigurationListener {
    void onSettings(FleetSettings settings);
}
