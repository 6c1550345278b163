package trailthread.engine.routes;

/**
 * Checks the syntax of hosts: names as in RFC 1123, IPv6 addresses, and names with underscores, as
 * they are in use.
 */
final class HostSyntax {
    private static final int MAX_NAME_LENGTH = 253;
    private static final int MAX_LABEL_LENGTH = 63;

    private HostSyntax() {}

    /**
     * Returns whether the text is a name in lower case without a trailing dot; IPv4 addresses count
     * as names.
     */
    static boolean isName(String text) {
        if (text.isEmpty() || text.length() > MAX_NAME_LENGTH) {
            return false;
        }
        int labelLength = 0;
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) == '.') {
                if (labelLength == 0) {
                    return false;
                }
                labelLength = 0;
            } else {
                labelLength++;
                if (labelLength > MAX_LABEL_LENGTH || !isLabelCharacter(text, i)) {
                    return false;
                }
            }
        }
        return labelLength > 0;
    }

    private static boolean isLabelCharacter(String text, int i) {
        char c = text.charAt(i);
        return (c >= 'a' && c <= 'z')
                || (c >= '0' && c <= '9')
                || c == '_'
                || (c == '-' && isWithinLabel(text, i));
    }

    /** Returns whether the character is neither the first nor the last of its label. */
    private static boolean isWithinLabel(String text, int i) {
        return i > 0
                && text.charAt(i - 1) != '.'
                && i + 1 < text.length()
                && text.charAt(i + 1) != '.';
    }

    /**
     * Returns whether the text looks like an IPv6 address in brackets (RFC 3986); only the
     * characters are checked.
     */
    static boolean isBracketedIpv6(String text) {
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
