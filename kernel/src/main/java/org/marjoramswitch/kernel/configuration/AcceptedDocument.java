package org.marjoramswitch.kernel.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;

/**
 * One document in an accepted body.
 *
 * @param content the active content; null if the document's draft was set aside and no content was active before
 * @param draft the draft that was considered; null if a restored store no longer has one
 * @param superseded true if {@code content} is newer than {@code draft}, which came from a restored backup
 */
record AcceptedDocument(
        @Nullable JsonNode content, @Nullable DraftVersion draft, boolean superseded) {}
