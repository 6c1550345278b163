package trailthread.lab.fault;

import java.util.List;
import trailthread.lab.server.ServerProcess;

/** A run, in virtual time or on sockets, into which faults can be injected. */
public interface FaultTarget {
    /** A server that faults can affect. */
    interface Server {
        String zone();

        /** Whether discovery lists it as ready. */
        boolean isReady();

        ServerProcess process();

        /** Makes discovery list it as draining. */
        void startDraining();

        /** Ends its process. */
        void stop();

        /** Starts its process again; discovery lists it as ready under the same name. */
        void restart();

        /** Removes it from discovery and adds a new server in its place. */
        void replace();
    }

    /** A node that faults can affect. */
    interface Node {
        /** Kills the process. */
        void kill();

        void start();

        /**
         * Whether it accepts requests of clients: it has started, and has neither ended nor begun
         * to shut down.
         */
        boolean isServing();

        /** Shuts it down gracefully and starts it again when it has ended. */
        void restart();

        /** Makes it read its configuration again. */
        void reload();

        /** Suspends it for this time, in ns. */
        void pause(long durationNs);
    }

    /** The servers, in an order that does not change. */
    List<? extends Server> servers();

    /** The nodes, in an order that does not change. */
    List<? extends Node> nodes();

    /** Stops discovery, or starts it again. */
    void setDiscoveryDown(boolean down);

    /** Cuts the servers and nodes of a zone off from all other zones; null ends the fault. */
    void isolateZone(String zone);

    /** Makes this share of the requests cost this many times the usual work. */
    void setHeavyTail(double share, double factor);
}
