/** Event loop of the kernel: its event ring, the open requests and the execution of its actions. */
@NullMarked
package org.marjoramswitch.daemon.core;

import org.jspecify.annotations.NullMarked;
