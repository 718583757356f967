/**
 * Keeps the newest accepted settings active: accepts drafts on acceptor instances and gossips with peers. Accepted
 * settings consist of a head (generation, digest and each team's revision) and one body per team.
 */
@NullMarked
package org.marjoramswitch.daemon.configuration;

import org.jspecify.annotations.NullMarked;
