package trailthread.daemon.soak;

import java.util.Locale;

/** The request classes in the program's settings. */
enum RequestKind {
    /** May be repeated. */
    STATE,
    /** May be repeated under its idempotency key. */
    ACTION,
    /** Must reach a server at most once. */
    USE;

    String className() {
        return name().toLowerCase(Locale.ROOT);
    }
}
