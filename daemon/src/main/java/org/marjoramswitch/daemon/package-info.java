/** The daemon: components, each with its own event loop, around the kernel's decisions. */
@NullMarked
package org.marjoramswitch.daemon;

import org.jspecify.annotations.NullMarked;
