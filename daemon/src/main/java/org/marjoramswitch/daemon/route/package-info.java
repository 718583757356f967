/** Routes configured by the operators: the pools that serve a request and the limits that apply to it. */
@NullMarked
package org.marjoramswitch.daemon.route;

import org.jspecify.annotations.NullMarked;
