/** Stand-in for a plain HTTP service. */
@NullMarked
package org.marjoramswitch.testkit.service;

import org.jspecify.annotations.NullMarked;
