/** The grammar of HTTP/1.1 responses, checked on the bytes that a connection receives. */
@NullMarked
package org.marjoramswitch.daemon.http;

import org.jspecify.annotations.NullMarked;
