/**
 * Deterministic benchmark of the kernel's real classes in virtual time, with a constant delay instead of a network and
 * simulated batching engines instead of targets, compared with two simpler policies on the same load.
 */
@NullMarked
package org.marjoramswitch.testkit.bench;

import org.jspecify.annotations.NullMarked;
