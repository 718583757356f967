package org.marjoramswitch.kernel.configuration;

import java.util.List;
import java.util.SortedMap;
import org.jspecify.annotations.Nullable;

/**
 * The result of an acceptance decision.
 *
 * @param next the generation to publish; null if nothing changes
 * @param refusals the faults and notices of each affected team; teams without any are absent
 */
public record Acceptance(@Nullable AcceptedTree next, SortedMap<String, List<SettingsFault>> refusals) {}
