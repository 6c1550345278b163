/**
 * Who may have what of the things that pools share: pure, without I/O; time is handed in.
 * docs/pools.md has the rules for operators, docs/design/pools.md what else was weighed.
 */
package trailthread.engine.quota;
