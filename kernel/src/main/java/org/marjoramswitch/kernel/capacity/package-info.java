/** Slot accounting of targets, retry budgets and the ejection of failing targets. */
@NullMarked
package org.marjoramswitch.kernel.capacity;

import org.jspecify.annotations.NullMarked;
