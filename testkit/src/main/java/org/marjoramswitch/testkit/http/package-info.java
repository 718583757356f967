/** Listener and response writer shared by the HTTP stand-ins. */
@NullMarked
package org.marjoramswitch.testkit.http;

import org.jspecify.annotations.NullMarked;
