package trailthread.engine.http;

/** A body that is streamed while it arrives; it can be read once. */
public interface ByteSource {
    /** Returns the length in bytes; -1: not known. */
    long length();

    /** Starts to stream all of the body to the sink, as it arrives. To be called once. */
    void streamTo(ByteSink sink);

    /** Returns whether {@link #streamTo} was called, so that the body cannot be sent again. */
    boolean isStarted();

    /** Continues to stream, as the sink has capacity again after it had none. */
    void resume();

    /** Stops streaming: the rest of the body is not wanted. The sink is not called any more. */
    void stop();
}
