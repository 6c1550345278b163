/**
 * Quotas on the resources that pools share. No I/O and no clock: time is passed in. docs/pools.md
 * has the rules for operators, docs/design/pools.md the alternatives that were considered.
 */
package trailthread.engine.quota;
