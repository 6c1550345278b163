/**
 * Which pool a request goes to: pure, without I/O, clock or chance. {@link Target} reads what a
 * client asked for, {@link Route} says what one route takes, {@link RouteTable} finds the most
 * specific that takes a request. docs/routes.md has the rules for operators.
 */
package trailthread.engine.routes;
