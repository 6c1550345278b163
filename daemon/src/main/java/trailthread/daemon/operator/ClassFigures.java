package trailthread.daemon.operator;

import trailthread.engine.meter.Answer;

/** What became of the calls of one class. */
final class ClassFigures {
    long taken;
    long gone;
    final long[] answers;
    final Durations durations;

    ClassFigures() {
        answers = new long[Answer.values().length];
        durations = new Durations();
    }

    private ClassFigures(ClassFigures other) {
        taken = other.taken;
        gone = other.gone;
        answers = other.answers.clone();
        durations = other.durations.copy();
    }

    ClassFigures copy() {
        return new ClassFigures(this);
    }

    /** How many have neither their answer nor lost their client. */
    long atWork() {
        return taken - gone - durations.count();
    }
}
