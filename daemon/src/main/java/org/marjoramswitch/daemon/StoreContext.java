package org.marjoramswitch.daemon;

import com.codahale.metrics.MetricRegistry;
import org.xnio.XnioWorker;

/** Resources of an instance that the client of the key-value store shares. */
public interface StoreContext {
    XnioWorker worker();

    MetricRegistry metrics();
}
