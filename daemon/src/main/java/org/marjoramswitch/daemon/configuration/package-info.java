/** Keeps the newest accepted settings active: accepts drafts on acceptor instances and gossips with peers. */
@NullMarked
package org.marjoramswitch.daemon.configuration;

import org.jspecify.annotations.NullMarked;
