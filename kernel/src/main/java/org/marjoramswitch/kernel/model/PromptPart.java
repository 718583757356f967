package org.marjoramswitch.kernel.model;

/**
 * One part of a prompt that other requests may begin with too; engines keep what they have read of it.
 *
 * @param id names the part's text; the same at every engine
 */
public record PromptPart(long id, int tokens) {
    public static PromptPart of(long id, int tokens) {
        return new PromptPart(id, tokens);
    }
}
