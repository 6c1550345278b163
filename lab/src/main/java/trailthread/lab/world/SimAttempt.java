package trailthread.lab.world;

import trailthread.BalancerApi.Load;
import trailthread.BalancerApi.Outcome;
import trailthread.lab.agenda.Agenda;
import trailthread.lab.worker.WorkerModel;

/** One attempt of a call, from its node to a worker and back, in virtual time. */
final class SimAttempt implements Comparable<SimAttempt> {
    /** What a worker says. */
    enum Answer { OK, ERROR, FULL }

    final SimCall call;
    final int number;
    final SimWorker worker;
    private final World world;
    private final SimNode node;
    private final long sentAt;
    WorkerModel.Job job;
    private Agenda.Entry timeout;
    private boolean over;
    /** It has a connection, of this life of its worker. */
    private boolean connected;
    private int life;
    private boolean written;
    /** It counts among those that are on their way. */
    private boolean coming;

    SimAttempt(World world, SimNode node, SimCall call, int number, SimWorker worker) {
        this.world = world;
        this.node = node;
        this.call = call;
        this.number = number;
        this.worker = worker;
        this.sentAt = world.now();
    }

    double work() {
        return call.ask.work;
    }

    /** Begins it; it is given up after this time, in ns. */
    void send(long withinNs) {
        timeout = world.agenda().in(withinNs, () -> node.input(() -> giveUp(Outcome.TIMEOUT)));
        life = worker.life;
        coming = true;
        worker.coming++;
        if (node.takesIdle(worker)) {
            connected = true;
            write();
            return;
        }
        world.figures().opens();
        world.agenda().in(world.network().dialNs(), () -> node.input(() -> {
            if (!connected) {
                end(Outcome.CONNECT_FAILED, null);
            }
        }));
        world.travel(node, worker, () -> {
            boolean opened = worker.up && worker.opens();
            life = worker.life;
            if (opened && over) {
                worker.connections--;
                return;
            }
            world.travel(worker, node, () -> {
                if (over) {
                    if (opened && worker.life == life) {
                        worker.connections--;
                    }
                } else if (opened) {
                    connected = true;
                    write();
                } else {
                    end(Outcome.CONNECT_FAILED, null);
                }
            });
        });
    }

    private void write() {
        written = true;
        world.travel(node, worker, () -> {
            if (over) {
                return; // the connection was closed on it
            }
            comesNoMore();
            if (!worker.up || worker.life != life) {
                world.travel(worker, node, () -> end(Outcome.RESET, null));
            } else {
                worker.arrived(this);
            }
        });
    }

    private void comesNoMore() {
        if (coming) {
            coming = false;
            worker.coming--;
        }
    }

    /** Its worker has it whole. */
    void begins() {
        world.referee().begun(world.now(), call.name, number);
    }

    /** Its worker says this, now. */
    void answers(Answer answer) {
        if (worker.life != life || over) {
            return;
        }
        Load load = worker.report();
        world.travel(worker, node, () -> {
            if (over) {
                return;
            }
            node.keepsIdle(worker, life);
            connected = false;
            end(answer == Answer.OK ? Outcome.OK : answer == Answer.FULL ? Outcome.FULL : Outcome.ERROR, load);
        });
    }

    /** Its worker's process has ended under it. */
    void breaks() {
        world.travel(worker, node, () -> end(Outcome.RESET, null));
    }

    /** Its node waits no longer. */
    void giveUp(Outcome outcome) {
        if (over) {
            return;
        }
        boolean wasWritten = written;
        boolean open = connected;
        int of = life;
        end(!wasWritten && outcome == Outcome.TIMEOUT ? Outcome.CONNECT_FAILED : outcome, null);
        if (open) {
            world.travel(node, worker, () -> {
                if (worker.life == of) {
                    worker.connections--;
                    worker.givenUp(this);
                }
            });
        }
    }

    private void end(Outcome outcome, Load load) {
        if (!over) {
            over = true;
            comesNoMore();
            timeout.cancel();
            if (outcome == Outcome.RESET) {
                connected = false;
            }
            node.ended(this, outcome, world.now() - sentAt, load);
        }
    }

    /** Its node was killed: its connection is closed by the system. */
    void dies() {
        over = true;
        comesNoMore();
        timeout.cancel();
        if (connected) {
            int of = life;
            world.travel(node, worker, () -> {
                if (worker.life == of) {
                    worker.connections--;
                    worker.givenUp(this);
                }
            });
        }
    }

    @Override
    public int compareTo(SimAttempt other) {
        int byCall = Long.compare(call.serial, other.call.serial);
        return byCall != 0 ? byCall : Integer.compare(number, other.number);
    }
}
