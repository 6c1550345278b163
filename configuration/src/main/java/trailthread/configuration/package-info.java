/**
 * Reads the operator's file: TOML, with every fault told where it stands. docs/configuration.md
 * lists its keys.
 */
package trailthread.configuration;
