package trailthread.configuration;

/**
 * One of the fixed words that a key accepts as its value.
 *
 * @param word as it is written in the file
 * @param value the object that the word stands for
 */
record AcceptedWord<T>(String word, T value) {}
