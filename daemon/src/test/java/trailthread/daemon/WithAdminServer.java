package trailthread.daemon;

import org.junit.After;
import org.junit.Before;
import trailthread.testkit.TestCluster;

/** A test of a node with an admin server, which each test method starts with its own settings. */
abstract class WithAdminServer {
    TestCluster cluster;

    @Before
    public void begin() throws Exception {
        cluster = new TestCluster();
        cluster.extraConfig = "\"management\":\"127.0.0.1:0\",";
    }

    @After
    public void end() throws Exception {
        cluster.close();
    }
}
