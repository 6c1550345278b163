/**
 * Reads the operator's file: TOML, with every fault reported at its line and column.
 * docs/configuration.md lists the keys.
 */
package trailthread.configuration;
