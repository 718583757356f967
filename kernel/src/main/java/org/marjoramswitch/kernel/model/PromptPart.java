package org.marjoramswitch.kernel.model;

/**
 * A part of a prompt that other prompts may share as a prefix; engines cache the parts that they have processed.
 *
 * @param id identifies the part's text; equal at all engines
 */
public record PromptPart(long id, int tokens) {
    public static PromptPart of(long id, int tokens) {
        return new PromptPart(id, tokens);
    }
}
