package trailthread.engine.routes;

/**
 * What a host may look like: a name of RFC 1123 letters (an underscore too, as it is in use), or an
 * address.
 */
final class HostSyntax {
    private static final int LONGEST_NAME = 253;
    private static final int LONGEST_LABEL = 63;

    private HostSyntax() {}

    /** A name in small letters, without a trailing dot. Dotted numbers are names, too. */
    static boolean isName(String text) {
        if (text.isEmpty() || text.length() > LONGEST_NAME) {
            return false;
        }
        int label = 0;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            boolean inner =
                    c == '-' && label > 0 && i + 1 < text.length() && text.charAt(i + 1) != '.';
            if (c == '.'
                    ? label == 0
                    : !((c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '_' || inner)) {
                return false;
            }
            label = c == '.' ? 0 : label + 1;
            if (label > LONGEST_LABEL) {
                return false;
            }
        }
        return label > 0;
    }

    /**
     * An IPv6 address in brackets, as RFC 3986 has it, by its letters; nothing here looks it up.
     */
    static boolean isAddress(String text) {
        if (text.length() < 4 || text.charAt(0) != '[' || text.charAt(text.length() - 1) != ']') {
            return false;
        }
        for (int i = 1; i < text.length() - 1; i++) {
            char c = text.charAt(i);
            if (!((c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || c == ':' || c == '.')) {
                return false;
            }
        }
        return text.indexOf(':') >= 0;
    }
}
