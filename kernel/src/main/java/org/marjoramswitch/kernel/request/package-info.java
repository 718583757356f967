/**
 * Identifies a request across all of the caller's attempts: request keys, and the registry of keys that each home
 * instance keeps.
 */
@NullMarked
package org.marjoramswitch.kernel.request;

import org.jspecify.annotations.NullMarked;
