/** The command line. docs/command-line.md describes it for operators. */
package trailthread.command;
