package org.marjoramswitch.daemon;

import com.codahale.metrics.MetricRegistry;
import org.xnio.XnioWorker;

/** What a client of the platform's service shares with the rest of its instance. */
public interface StoreContext {
    XnioWorker worker();

    MetricRegistry metrics();
}
