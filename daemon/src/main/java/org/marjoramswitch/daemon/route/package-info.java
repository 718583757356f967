/** The operators' routes: which service a caller's request is for, and what holds for it there. */
@NullMarked
package org.marjoramswitch.daemon.route;

import org.jspecify.annotations.NullMarked;
