package org.marjoramswitch.daemon.caller;

/**
 * Hashes the first {@value #MAX_CHARS} characters of a prompt's texts, so that requests with the same prefix can be
 * sent to an engine that has it cached. A false match costs only time.
 *
 * <p>The hash is 64-bit FNV-1a over the UTF-16 code units of every string in the messages, in order. Engines identify
 * prefixes by the same hash in their cache events; with any other hash no event would match a request.
 */
final class PromptPrefix {
    private static final int MAX_CHARS = 512;
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private long hash = FNV_OFFSET;
    private int chars;

    private PromptPrefix() {}

    static PromptPrefix create() {
        return new PromptPrefix();
    }

    void add(String text) {
        int count = Math.min(text.length(), MAX_CHARS - chars);
        for (int i = 0; i < count; i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        chars += count;
    }

    boolean isFull() {
        return chars == MAX_CHARS;
    }

    /** Returns 0 if no text was added. */
    long hash() {
        return chars == 0 ? 0 : hash;
    }
}
