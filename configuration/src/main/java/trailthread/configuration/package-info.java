/**
 * Reads the operator's file: TOML, with every fault reported where it stands. docs/configuration.md
 * lists the keys.
 */
package trailthread.configuration;
