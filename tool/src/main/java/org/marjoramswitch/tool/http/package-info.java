/** HTTP client of the load generator and the status commands, built on Undertow's client. */
@NullMarked
package org.marjoramswitch.tool.http;

import org.jspecify.annotations.NullMarked;
