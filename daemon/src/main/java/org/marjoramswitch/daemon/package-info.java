/** The daemon: runs the kernel in an event loop and connects it to callers, targets, peers and the key-value store. */
@NullMarked
package org.marjoramswitch.daemon;

import org.jspecify.annotations.NullMarked;
