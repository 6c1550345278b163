package trailthread.daemon;

import javax.management.MBeanServerBuilder;

/**
 * Stands in for the platform's server of management beans and says that there is none. XNIO
 * registers itself with it, goes on without it, and so spares a start hundreds of classes. An
 * error, as for an exception the platform would first set up its logging.
 */
public final class NoMBeanServer extends MBeanServerBuilder {
    /** Made by the platform, from the property {@code javax.management.builder.initial}. */
    public NoMBeanServer() {
        throw new UnsupportedOperationError();
    }

    private static final class UnsupportedOperationError extends Error {
        private static final long serialVersionUID = 1L;

        UnsupportedOperationError() {
            super("no management beans here", null, false, false);
        }
    }
}
