/** Authenticated TCP links between instances. */
@NullMarked
package org.marjoramswitch.daemon.peer;

import org.jspecify.annotations.NullMarked;
