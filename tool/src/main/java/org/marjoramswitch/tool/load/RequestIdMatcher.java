package org.marjoramswitch.tool.load;

/** Searches a response for a request's id. */
final class RequestIdMatcher {
    private RequestIdMatcher() {}

    /** Returns whether the text contains the id as a whole token, not only as part of a longer id. */
    static boolean containsId(String text, String requestId) {
        for (int at = text.indexOf(requestId); at >= 0; at = text.indexOf(requestId, at + 1)) {
            if (!isIdCharacter(text, at - 1) && !isIdCharacter(text, at + requestId.length())) {
                return true;
            }
        }
        return false;
    }

    private static boolean isIdCharacter(String text, int index) {
        if (index < 0 || index >= text.length()) {
            return false;
        }
        char at = text.charAt(index);
        return Character.isLetterOrDigit(at) || at == '-';
    }
}
