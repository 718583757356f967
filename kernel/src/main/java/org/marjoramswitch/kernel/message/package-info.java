/** Typed messages between instances; package wire encodes them. */
@NullMarked
package org.marjoramswitch.kernel.message;

import org.jspecify.annotations.NullMarked;
