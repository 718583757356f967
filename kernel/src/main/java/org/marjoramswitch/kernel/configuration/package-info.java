/** Validates and merges the drafts of all teams into accepted settings generations with increasing numbers. */
@NullMarked
package org.marjoramswitch.kernel.configuration;

import org.jspecify.annotations.NullMarked;
