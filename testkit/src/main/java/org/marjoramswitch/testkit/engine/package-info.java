/** Stand-in for a model engine with continuous batching. */
@NullMarked
package org.marjoramswitch.testkit.engine;

import org.jspecify.annotations.NullMarked;
