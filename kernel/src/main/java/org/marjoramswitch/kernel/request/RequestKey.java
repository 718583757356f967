package org.marjoramswitch.kernel.request;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.model.InstanceId;

/**
 * Identifies one request across all of its attempts: a prefix issued with an address response and a suffix chosen by
 * the caller. Text form: {@code instance:incarnation:issued:suffix} with both numbers in base 36.
 *
 * @param home the one instance that may run the request
 * @param incarnation incarnation of the home instance; another incarnation has no record of the key
 * @param issuedS issue time of the prefix in seconds since 1970, by the clock of the issuing instance
 * @param suffix 1 to {@value #MAX_SUFFIX_CHARS} letters, digits and {@code . _ ~ -}, unique among the customer's
 *     requests with this prefix
 */
public record RequestKey(InstanceId home, long incarnation, long issuedS, String suffix) {
    /** Limits the memory that callers can use for keys; longer texts are invalid. */
    public static final int MAX_CHARS = 200;

    static final int MAX_SUFFIX_CHARS = 64;
    private static final int RADIX = 36;
    private static final String SEPARATOR = ":";
    /** Only the instance's name may contain a separator, hence the greedy first group. */
    private static final Pattern FORMAT =
            Pattern.compile("(.+):([0-9a-z]{1,13}):([0-9a-z]{1,13}):([A-Za-z0-9._~-]{1," + MAX_SUFFIX_CHARS + "})");

    public static RequestKey of(InstanceId home, long incarnation, long issuedS, String suffix) {
        return new RequestKey(home, incarnation, issuedS, suffix);
    }

    /** Parses a key; null if the text is not a valid key. */
    public static @Nullable RequestKey parse(String text) {
        if (text.length() > MAX_CHARS) {
            return null;
        }
        Matcher matcher = FORMAT.matcher(text);
        if (!matcher.matches()) {
            return null;
        }
        try {
            long incarnation = Long.parseLong(matcher.group(2), RADIX);
            long issuedS = Long.parseLong(matcher.group(3), RADIX);
            return new RequestKey(InstanceId.of(matcher.group(1)), incarnation, issuedS, matcher.group(4));
        } catch (NumberFormatException e) {
            return null; // 13 digits in base 36 can exceed the range of long
        }
    }

    /** The text that callers put before their suffix. */
    public static String prefix(InstanceId home, long incarnation, long issuedS) {
        return home.name()
                + SEPARATOR
                + Long.toString(incarnation, RADIX)
                + SEPARATOR
                + Long.toString(issuedS, RADIX)
                + SEPARATOR;
    }

    @Override
    public String toString() {
        return prefix(home, incarnation, issuedS) + suffix;
    }
}
