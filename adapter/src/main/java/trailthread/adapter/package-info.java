/**
 * Runs balancers under the simulator. {@link trailthread.adapter.WireReader} and {@link
 * trailthread.adapter.WireWriter} know lines and fields, {@link trailthread.adapter.WireMessages}
 * and {@link trailthread.adapter.WireCodec} the wire's words, {@link
 * trailthread.adapter.EventDispatcher} and {@link trailthread.adapter.WireActions} what they mean
 * to a balancer, and {@link trailthread.adapter.Adapter} batches and instances.
 */
package trailthread.adapter;
