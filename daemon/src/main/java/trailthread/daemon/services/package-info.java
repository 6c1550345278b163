/** A node with several services, configured by an operator's file. */
package trailthread.daemon.services;
