package trailthread.daemon;

import org.junit.After;
import org.junit.Before;
import trailthread.testkit.TestCluster;

/** A node with a door for its operators, which each test starts with settings of its own. */
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
