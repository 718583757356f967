/** Membership: a SWIM failure detector as a deterministic state machine on datagrams and time. */
@NullMarked
package org.marjoramswitch.kernel.membership;

import org.jspecify.annotations.NullMarked;
