package trailthread.engine.http;

/** A body that is streamed while it arrives; it can be read once. */
public interface ByteSource {
    /** Returns the body's length in bytes; -1: not known. */
    long length();

    /** Starts to stream the body to the sink as it arrives. To be called once. */
    void streamTo(ByteSink sink);

    /** Returns whether {@link #streamTo} was called, so that the body cannot be sent again. */
    boolean isStarted();

    /**
     * Returns the earliest time at which the body's last byte can have arrived, by {@link
     * trailthread.engine.loop.EventLoop#now}. It is now as long as everything that has arrived is
     * read, and stays when the sink holds up reading, as the last byte may then have arrived
     * unread.
     */
    long lastByteNotBefore();

    /** Continues to stream after the sink had no capacity, as it has some again. */
    void resume();

    /** Stops streaming and drops the rest of the body. The sink is not called any more. */
    void stop();
}
