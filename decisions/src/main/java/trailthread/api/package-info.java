/**
 * The interface between a host and a {@link trailthread.Balancer}: settings, events in, actions
 * out.
 *
 * <p>All times are nanoseconds of the host's own monotonic clock, which may start anywhere. A
 * balancer is confined to one thread at a time; two balancers share nothing.
 */
package trailthread.api;
