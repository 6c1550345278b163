package trailthread.daemon.admin;

import trailthread.engine.metrics.RequestResult;

/** What became of the calls of one class. */
final class ClassMetrics {
    long taken;
    long gone;
    final long[] answers;
    final DurationHistogram durations;

    ClassMetrics() {
        answers = new long[RequestResult.values().length];
        durations = new DurationHistogram();
    }

    private ClassMetrics(ClassMetrics other) {
        taken = other.taken;
        gone = other.gone;
        answers = other.answers.clone();
        durations = other.durations.copy();
    }

    ClassMetrics copy() {
        return new ClassMetrics(this);
    }

    /** How many have neither their answer nor lost their client. */
    long atWork() {
        return taken - gone - durations.count();
    }
}
