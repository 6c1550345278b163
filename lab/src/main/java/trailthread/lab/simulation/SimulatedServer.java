package trailthread.lab.simulation;

import trailthread.api.EndpointEntry;
import trailthread.api.EndpointState;
import trailthread.lab.fault.FaultTarget;
import trailthread.lab.model.ServerLimits;
import trailthread.lab.server.ServerProcess;

/** A server in virtual time: its process, its connections, and what discovery says of it. */
final class SimulatedServer implements FaultTarget.Server {
    final String name;
    final int index;
    final String zone;
    final int cell;
    private final Simulation world;
    private final ServerProcess process;
    EndpointState state = EndpointState.READY;
    int connections;

    /** Attempts that are on their way to it. */
    int arriving;

    SimulatedServer(
            Simulation world,
            String name,
            int index,
            String zone,
            int cell,
            ServerLimits law,
            boolean cold) {
        this.world = world;
        this.name = name;
        this.index = index;
        this.zone = zone;
        this.cell = cell;
        process =
                new ServerProcess(
                        world.eventQueue(),
                        world.streams(),
                        world.scenario().fleet(),
                        name,
                        law,
                        cold,
                        () -> {
                            connections = 0;
                            world.checker().coldServerOverloaded(world.now(), name);
                        });
    }

    EndpointEntry entry() {
        return new EndpointEntry(name, 1, state, zone, process.startedAt(), cell);
    }

    /** A connect has come; whether it is taken. */
    boolean acceptConnection() {
        if (!process.isUp() || connections >= world.network().connections()) {
            return false;
        }
        connections++;
        process.works(world.network().openWorkNs());
        return true;
    }

    /** A connection of this life of it is closed by its node. */
    void connectionClosed(int life) {
        if (life == process.life()) {
            connections--;
        }
    }

    @Override
    public String zone() {
        return zone;
    }

    @Override
    public boolean isReady() {
        return state == EndpointState.READY;
    }

    @Override
    public ServerProcess process() {
        return process;
    }

    @Override
    public void startDraining() {
        world.discovery().setState(this, EndpointState.DRAINING);
    }

    @Override
    public void stop() {
        connections = 0;
        process.goDown();
    }

    @Override
    public void restart() {
        process.comeUp();
        world.discovery().setState(this, EndpointState.READY);
    }

    @Override
    public void replace() {
        world.discovery().setState(this, EndpointState.GONE);
        world.addServer(zone, Math.max(0, cell), true);
    }
}
