/**
 * Quotas on what pools share. No I/O and no clock: time is passed in. docs/pools.md has the rules
 * for operators, docs/design/pools.md the alternatives.
 */
package trailthread.engine.quota;
