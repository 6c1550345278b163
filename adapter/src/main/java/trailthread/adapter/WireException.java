package trailthread.adapter;

import java.util.Objects;

/**
 * Input from the simulator that cannot be read. The adapter gives up at the first one: a later
 * message could be misread after it.
 */
final class WireException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    private final Problem problem;
    private final long line;
    private final String field;

    /** What is wrong with the input. */
    enum Problem {
        /** A field holds a value that it must not hold. */
        INVALID_VALUE,
        /** A message has too few or too many fields. */
        WRONG_FIELD_COUNT,
        /** A message is unknown, or comes before one that it depends on. */
        UNEXPECTED_MESSAGE,
        /** The settings of an instance cannot be used. */
        INVALID_SETTINGS,
        /** A line is longer than the reader buffers. */
        LINE_TOO_LONG,
        /** The input ends within a line or a batch. */
        TRUNCATED_INPUT
    }

    /**
     * Describes a problem.
     *
     * @param line number of the line, from 1
     * @param field the field or message that is wrong
     * @param expected what the input should hold instead
     */
    WireException(Problem problem, long line, String field, String expected) {
        super("line " + line + ": " + field + ": expected " + expected);
        this.problem = Objects.requireNonNull(problem);
        this.line = line;
        this.field = field;
    }

    /** What is wrong with the input. */
    Problem problem() {
        return problem;
    }

    /** Number of the line, from 1. */
    long line() {
        return line;
    }

    /** The field or message that is wrong. */
    String field() {
        return field;
    }
}
