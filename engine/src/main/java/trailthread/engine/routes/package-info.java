/**
 * Which pool a request is routed to. No I/O, no clock, no random numbers. {@link Target} parses
 * what a client requests, {@link Route} says which requests one route matches, {@link RouteTable}
 * finds the most specific one. docs/routes.md has the rules for operators.
 */
package trailthread.engine.routes;
