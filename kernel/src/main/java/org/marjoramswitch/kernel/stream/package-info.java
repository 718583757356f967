/** The software versions at which streams began, and those that have served each pool lately. */
@NullMarked
package org.marjoramswitch.kernel.stream;

import org.jspecify.annotations.NullMarked;
