/** Fair queueing between customers by virtual service counters. */
@NullMarked
package org.marjoramswitch.kernel.fair;

import org.jspecify.annotations.NullMarked;
