package trailthread.engine.discovery;

import java.net.URI;
import java.net.URISyntaxException;

/** Checks the syntax of addresses of the form host:port. */
final class HostPort {
    private static final int MAX_PORT = 65535;
    private static final int IPV4_OCTETS = 4;
    private static final int MAX_OCTET = 255;
    private static final int MAX_OCTET_DIGITS = 3;

    private HostPort() {}

    /** Returns whether the text is a host name or address with a port from 1 to 65535. */
    static boolean isValid(String text) {
        if (isIpv4WithPort(text)) {
            return true;
        }
        try {
            URI uri = new URI("http://" + text);
            return uri.getHost() != null
                    && uri.getPort() > 0
                    && uri.getPort() <= MAX_PORT
                    && text.equals(uri.getAuthority());
        } catch (URISyntaxException e) {
            return false;
        }
    }

    /**
     * Returns whether the text is an IPv4 address with a port. Faster than parsing a URI: a list
     * has thousands of addresses, nearly all of this form.
     */
    private static boolean isIpv4WithPort(String text) {
        int octets = 1;
        int digits = 0;
        int octet = 0;
        int position = 0;
        for (; position < text.length() && text.charAt(position) != ':'; position++) {
            char c = text.charAt(position);
            if (c == '.' && digits > 0) {
                octets++;
                digits = 0;
                octet = 0;
            } else if (c >= '0' && c <= '9' && digits < MAX_OCTET_DIGITS) {
                digits++;
                octet = 10 * octet + c - '0';
            } else {
                return false;
            }
            if (octet > MAX_OCTET) {
                return false;
            }
        }
        return octets == IPV4_OCTETS && digits > 0 && isPort(text, position + 1);
    }

    private static boolean isPort(String text, int from) {
        int port = 0;
        for (int position = from; position < text.length(); position++) {
            char c = text.charAt(position);
            if (c < '0' || c > '9' || port > MAX_PORT) {
                return false;
            }
            port = 10 * port + c - '0';
        }
        return port > 0 && port <= MAX_PORT;
    }
}
