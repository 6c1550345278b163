/** Reads {@link trailthread.api.Settings} from pairs of a path and a value. */
package trailthread.settings;
