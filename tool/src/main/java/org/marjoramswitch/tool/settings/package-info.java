/** Operations on settings documents: reading, checking, comparing, and writing by compare-and-swap. */
@NullMarked
package org.marjoramswitch.tool.settings;

import org.jspecify.annotations.NullMarked;
