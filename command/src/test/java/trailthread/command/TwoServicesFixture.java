package trailthread.command;

import java.io.IOException;
import java.net.Socket;
import org.junit.After;
import trailthread.testkit.Message;
import trailthread.testkit.ScriptedServer;
import trailthread.testkit.TestCluster;

/** Runs the program with two services, sim and marks, each with one scripted endpoint. */
public abstract class TwoServicesFixture {
    final TestCluster cluster;
    final ScriptedServer sim;
    final ScriptedServer marks;

    TwoServicesFixture() throws Exception {
        cluster = new TestCluster();
        sim = cluster.closeAtEnd(ScriptedServer.respondingWith("sim"));
        marks = cluster.closeAtEnd(ScriptedServer.respondingWith("marks"));
    }

    @After
    public void close() throws Exception {
        cluster.close();
    }

    /** A pool's section of the file, with long timeouts. */
    static String poolSection(String name, String keys) {
        return "[pools."
                + name
                + "]\naim = \"10s\"\ndeadline = \"20s\"\nconnect_within = \"10s\"\n"
                + keys
                + "\n";
    }

    /** A route's section of the file. */
    static String routeSection(String name, String keys) {
        return "[[routes]]\nname = \"" + name + "\"\n" + keys + "\n";
    }

    /** The key that lists a pool's endpoints. */
    static String endpointsKey(ScriptedServer... servers) {
        StringBuilder key = new StringBuilder("workers = [");
        for (ScriptedServer server : servers) {
            key.append('"').append(server.hostPort()).append("\",");
        }
        return key.append("]\n").toString();
    }

    /** A file with both pools, each with these keys, and a route to each. */
    String file(String simKeys, String marksKeys) {
        return "[node]\nlisten = \"127.0.0.1:0\"\ndescriptors = 256\n"
                + poolSection("sim", simKeys)
                + poolSection("marks", marksKeys)
                + routeSection("sim", "host = \"sim.example.org\"\npool = \"sim\"")
                + routeSection("marks", "host = \"*.example.org\"\npool = \"marks\"");
    }

    /** Starts the program with both services. */
    void startBothServices() throws Exception {
        cluster.startWithOperatorFile(file(endpointsKey(sim), endpointsKey(marks)));
    }

    /** The head of a request. */
    static String requestHead(String method, String path, String host, String headers) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n" + headers + "\r\n";
    }

    /** Sends a request on a new connection and returns the response. */
    Message sendRequest(String method, String path, String host, String headers)
            throws IOException {
        try (Socket client = cluster.connect()) {
            Message.send(client, requestHead(method, path, host, headers));
            return Message.read(client, method.equals("HEAD"));
        }
    }
}
