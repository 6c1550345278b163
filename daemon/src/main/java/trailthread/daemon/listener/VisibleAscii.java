package trailthread.daemon.listener;

/** The characters allowed in header values and targets that are forwarded. */
final class VisibleAscii {
    private VisibleAscii() {}

    /** Whether a text consists of visible ASCII characters only, without spaces. */
    static boolean isVisible(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) <= ' ' || text.charAt(i) > '~') {
                return false;
            }
        }
        return true;
    }
}
