package trailthread.daemon;

import javax.management.MBeanServerBuilder;

/**
 * Keeps the Java platform from creating its MBean server. XNIO registers itself there, which would
 * load hundreds of classes at the start; it goes on without one. The constructor throws an error,
 * as the platform would set up its own logging to report an exception.
 */
public final class NoMBeanServer extends MBeanServerBuilder {
    /** Called by the platform, as the property {@code javax.management.builder.initial} says. */
    public NoMBeanServer() {
        throw new MBeanServerDisabledError();
    }

    /** Has no stack trace, as nobody reads it. */
    private static final class MBeanServerDisabledError extends Error {
        private static final long serialVersionUID = 1L;

        MBeanServerDisabledError() {
            super("the MBean server is disabled", null, false, false);
        }
    }
}
