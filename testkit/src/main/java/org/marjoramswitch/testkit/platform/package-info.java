/** In-memory stand-in for the platform's key-value store, with faults that tests inject at run time. */
@NullMarked
package org.marjoramswitch.testkit.platform;

import org.jspecify.annotations.NullMarked;
