package trailthread.configuration;

/**
 * One of the words that a key accepts.
 *
 * @param word as it is written in the file
 * @param value what it stands for
 */
record Choice<T>(String word, T value) {}
