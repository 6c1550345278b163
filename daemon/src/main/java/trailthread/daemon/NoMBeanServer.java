package trailthread.daemon;

import javax.management.MBeanServerBuilder;

/**
 * Prevents the Java platform from creating its MBean server. XNIO would register itself there,
 * which loads hundreds of classes at the start, but does not depend on it. The constructor throws
 * an error, as the Java platform would set up its own logging to report an exception.
 */
public final class NoMBeanServer extends MBeanServerBuilder {
    /**
     * Called by the Java platform, as the property {@code javax.management.builder.initial} says.
     */
    public NoMBeanServer() {
        throw new MBeanServerDisabledError();
    }

    /** Has no stack trace, as none is ever printed. */
    private static final class MBeanServerDisabledError extends Error {
        private static final long serialVersionUID = 1L;

        MBeanServerDisabledError() {
            super("the MBean server is disabled", null, false, false);
        }
    }
}
