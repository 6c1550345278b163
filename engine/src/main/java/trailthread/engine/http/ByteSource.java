package trailthread.engine.http;

/** A body that is streamed while it arrives; it can be read once. */
public interface ByteSource {
    /** Returns the length in bytes; -1: not known. */
    long length();

    /** Starts to pass all of the body to the sink, as it arrives. To be called once. */
    void flowTo(ByteSink sink);

    /** Returns whether {@link #flowTo} was called, so that the body cannot be sent again. */
    boolean hasBegun();

    /** The sink has capacity again, after it had none. */
    void more();

    /** The rest of the body is not wanted; the sink is not called any more. */
    void stop();
}
