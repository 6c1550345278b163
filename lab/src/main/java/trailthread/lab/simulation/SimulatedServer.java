package trailthread.lab.simulation;

import trailthread.api.EndpointEntry;
import trailthread.api.EndpointState;
import trailthread.lab.fault.FaultTarget;
import trailthread.lab.model.ServerLimits;
import trailthread.lab.server.ServerProcess;

/** A server in virtual time: its process, its connections and its state in discovery. */
final class SimulatedServer implements FaultTarget.Server {
    final String name;
    final int index;
    final String zone;
    final int cell;
    private final Simulation simulation;
    private final ServerProcess process;
    EndpointState state = EndpointState.READY;
    int connections;

    /** The number of attempts on their way to this server. */
    int arriving;

    SimulatedServer(
            Simulation simulation,
            String name,
            int index,
            String zone,
            int cell,
            ServerLimits limits,
            boolean cold) {
        this.simulation = simulation;
        this.name = name;
        this.index = index;
        this.zone = zone;
        this.cell = cell;
        process =
                new ServerProcess(
                        simulation.eventQueue(),
                        simulation.streams(),
                        simulation.scenario().fleet(),
                        name,
                        limits,
                        cold,
                        () -> {
                            connections = 0;
                            simulation.checker().coldServerOverloaded(simulation.now(), name);
                        });
    }

    EndpointEntry entry() {
        return new EndpointEntry(name, 1, state, zone, process.startedAt(), cell);
    }

    /** Accepts or refuses a new connection; true if it is accepted. */
    boolean acceptConnection() {
        if (!process.isUp() || connections >= simulation.network().maxConnections()) {
            return false;
        }
        connections++;
        process.addBackgroundWork(simulation.network().connectionWorkNs());
        return true;
    }

    /** A node has closed a connection that was opened to this incarnation of the server. */
    void connectionClosed(int incarnation) {
        if (incarnation == process.incarnation()) {
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
        simulation.discovery().setState(this, EndpointState.DRAINING);
    }

    @Override
    public void stop() {
        connections = 0;
        process.stop();
    }

    @Override
    public void restart() {
        process.start();
        simulation.discovery().setState(this, EndpointState.READY);
    }

    @Override
    public void replace() {
        simulation.discovery().setState(this, EndpointState.GONE);
        simulation.addServer(zone, Math.max(0, cell), true);
    }
}
