package trailthread.lab.fault;

import java.util.List;
import trailthread.lab.server.ServerProcess;

/** What things can go wrong with: a day in virtual time or on sockets. */
public interface FaultTarget {
    /** A server of it. */
    interface Server {
        /** Its zone. */
        String zone();

        /** Whether discovery names it as ready. */
        boolean isReady();

        /** Its process. */
        ServerProcess process();

        /** Discovery names it as one that wants nothing new. */
        void startDraining();

        /** Its process ends. */
        void stop();

        /** It starts again under its name, and discovery names it so. */
        void restart();

        /** Discovery names it no more, and another one takes its place. */
        void replace();
    }

    /** A node of it. */
    interface Node {
        /** Ends it at once. */
        void kill();

        /** Starts it again. */
        void start();

        /**
         * Whether it takes clients' requests: it has started, and neither ended nor been told to.
         */
        boolean isServing();

        /** Ends it in order, and starts it again when it has ended. */
        void restart();

        /** Tells it to read its configuration again. */
        void reload();

        /** Stops it for so long, in ns. */
        void pause(long forNs);
    }

    /** In an order of their own that does not change. */
    List<? extends Server> servers();

    /** Also. */
    List<? extends Node> nodes();

    /** Discovery answers nothing, or it is back. */
    void setDiscoveryDown(boolean down);

    /** All in a zone are cut off from all others; null: no more. */
    void isolateZone(String zone);

    /** This share of the requests costs so many times the usual work. */
    void setHeavyTail(double share, double times);
}
