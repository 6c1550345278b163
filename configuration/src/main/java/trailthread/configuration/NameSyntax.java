package trailthread.configuration;

import java.util.regex.Pattern;

/** The syntax of names in the file. */
final class NameSyntax {
    /** Replaces a missing name, so that the rest of its section can be checked. */
    static final String PLACEHOLDER = "unnamed";

    /** The format of names, as faults describe it. */
    static final String NAME_FORMAT = "letters, digits, dots and dashes";

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]*");

    /** RFC 9110, 5.6.2. */
    private static final Pattern TOKEN = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+");

    private NameSyntax() {}

    /** Whether a text may name a pool, a class or a route. */
    static boolean isName(String text) {
        return NAME.matcher(text).matches();
    }

    /** Whether a text may name a header field or a method of HTTP. */
    static boolean isHttpToken(String text) {
        return TOKEN.matcher(text).matches();
    }
}
