/** The daemon: event loops, one thread each, around the kernel's decisions. */
@NullMarked
package org.marjoramswitch.daemon;

import org.jspecify.annotations.NullMarked;
