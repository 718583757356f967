/** MessagePack encoding of the messages between instances: link messages, frames and datagrams. */
@NullMarked
package org.marjoramswitch.kernel.wire;

import org.jspecify.annotations.NullMarked;
