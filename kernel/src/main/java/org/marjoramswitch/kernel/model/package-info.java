/** Value types of the kernel: names, requests, targets and the membership view. */
@NullMarked
package org.marjoramswitch.kernel.model;

import org.jspecify.annotations.NullMarked;
