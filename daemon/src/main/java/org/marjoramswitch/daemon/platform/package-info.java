/** Client of the platform's key-value store, and its list of instances and targets. */
@NullMarked
package org.marjoramswitch.daemon.platform;

import org.jspecify.annotations.NullMarked;
