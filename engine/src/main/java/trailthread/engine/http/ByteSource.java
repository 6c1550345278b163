package trailthread.engine.http;

/** A body that is not held, but comes; it is given once. */
public interface ByteSource {
    /** In bytes; -1: its end will tell. */
    long length();

    /** Gives all of it to the sink, from now on and as it comes. To be called once. */
    void flowTo(ByteSink sink);

    /** Whether {@link #flowTo} was called: what has been given can't be given again. */
    boolean hasBegun();

    /** The sink has room for more, after it had none. */
    void more();

    /** Nothing of it is wanted any more, and the sink hears nothing more. */
    void stop();
}
