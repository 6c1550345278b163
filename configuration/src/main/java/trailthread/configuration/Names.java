package trailthread.configuration;

import java.util.regex.Pattern;

/** What names in the file may look like. */
final class Names {
    /** Stands for a name that is missing, so that the rest of its section can be checked. */
    static final String UNNAMED = "unnamed";

    /** What a fault expects of a name. */
    static final String EXPECTED = "letters, digits, dots and dashes";

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]*");

    /** RFC 9110, 5.6.2. */
    private static final Pattern TOKEN = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+");

    private Names() {}

    /** Whether a text may name a pool, a class or a route. */
    static boolean isName(String text) {
        return NAME.matcher(text).matches();
    }

    /** Whether a text may name a header field or a method of HTTP. */
    static boolean isHttpToken(String text) {
        return TOKEN.matcher(text).matches();
    }
}
