package trailthread.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import trailthread.adapter.WireException.Problem;

/** Batches of messages through the whole adapter: replies, and errors in the input. */
class AdapterTest {
    private static final String BEGIN =
            "begin\t5\ttick_ns=1000000\tcategories.count=1\tcategories.0.name=get"
                    + "\tcategories.0.aim_ns=100000000\tcategories.0.deadline_ns=500000000"
                    + "\tcategories.0.semantics=retryable\tunheard.of=7\n";
    private static final String POOL = "pool\t3\t1\nentry\th:1\t1\t2\teast\tany\t-\t0\n";
    private static final String START =
            "frame\t1000\nswitch_to\tnode/0\n" + BEGIN + POOL + "membership\t3\t1\t2\nend\n";

    private static String run(String input) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new Adapter(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out).run();
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void anEmptyBatchGetsAnEmptyReply() throws IOException {
        assertEquals("next\n", run("frame\t5\nend\n"));
    }

    @Test
    void aRequestIsForwardedToAnEndpoint() throws IOException {
        String reply =
                run(
                        START
                                + "frame\t2000\nswitch_to\tnode/0\n"
                                + "knock\t77\t-\tget\t400000000\t-\t0\t-\nend\n");
        assertTrue(reply.contains("from\tnode/0\n"), reply);
        assertTrue(reply.contains("forward\t77\t0\th:1\n"), reply);
        assertTrue(reply.endsWith("next\n"), reply);
    }

    @Test
    void everyKindOfEventIsAccepted() throws IOException {
        String reply =
                run(
                        START
                                + "frame\t2000\nswitch_to\tnode/0\n"
                                + "knock\t77\t5000\tget\t400000000\t-\t3\t00ff00ff00ff00ff\n"
                                + "head_received\t77\t0\th:1\t9\nresult\t77\t0\th:1\tOk\t9\t1\tqueue:2,other:1\n"
                                + "timed_out_client\t77\ntick_due\t3\nhealth_result\th:1\tTimedOut\t9\ninbox\t2\t6869\n"
                                + "membership\t0\t2\t3\n"
                                + "end\n");
        assertTrue(reply.contains("forward\t77"), reply);
    }

    @Test
    void anUpdateHoldsThePageAsLastSentBeforeIt() throws IOException {
        String other = POOL.replace("h:1", "h:2");
        String reply =
                run(
                        "frame\t1000\nswitch_to\tnode/0\n"
                                + BEGIN
                                + POOL
                                + "membership\t3\t1\t2\n"
                                + other
                                + "switch_to\tnode/1\n"
                                + BEGIN
                                + "membership\t3\t1\t2\nend\n"
                                + "frame\t2000\nswitch_to\tnode/0\nknock\t1\t-\tget\t400000000\nswitch_to\tnode/1\n"
                                + "knock\t2\t-\tget\t400000000\nend\n");
        assertTrue(reply.contains("forward\t1\t0\th:1\n"), reply);
        assertTrue(reply.contains("forward\t2\t0\th:2\n"), reply);
    }

    @Test
    void aStoppedInstanceMayStartAnewInTheSameBatch() throws IOException {
        String reply =
                run(
                        START
                                + "frame\t2000\nswitch_to\tnode/0\nstop\n"
                                + BEGIN
                                + "membership\t3\t1\t2\nknock\t9\t-\tget\t400000000\nend\n");
        assertTrue(reply.contains("forward\t9"), reply);
    }

    @Test
    void anExceptionInABalancerIsReportedInTheReply() throws IOException {
        String reply =
                run(START + "frame\t2000\nswitch_to\tnode/0\nknock\t77\t-\tput\t400000000\nend\n");
        assertTrue(reply.contains("internal_error\t") && reply.contains("put"), reply);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "hello\\n | line 1: message: expected frame | UNEXPECTED_MESSAGE",
                "frame\\tx\\nend\\n | line 1: frame: expected a whole number | INVALID_VALUE",
                "frame\\t1\\n | line 2: message: expected end | TRUNCATED_INPUT",
                "frame\\t1\\nswitch_to\\tnode/0\\nsing\\nend\\n"
                        + " | line 3: sing: expected begin | UNEXPECTED_MESSAGE",
                "frame\\t1\\ntick_due\\t1\\nend\\n"
                        + " | line 2: tick_due: expected switch_to | UNEXPECTED_MESSAGE",
                "frame\\t1\\nswitch_to\\tnode/0\\nbegin\\t1\\tme=x\\nend\\n"
                        + " | line 3: me: expected a whole number | INVALID_SETTINGS",
                "frame\\t1\\nswitch_to\\tnode/0\\nbegin\\t1\\nend\\n"
                        + " | line 3: options: expected usable settings | INVALID_SETTINGS",
                "frame\\t1\\npool\\t16\\t0\\nend\\n"
                        + " | line 2: page: expected 0 to 15 | INVALID_VALUE",
                "frame\\t1\\npool\\t1\\t2\\nend\\n"
                        + " | line 3: message: expected entry 1 of 2 | UNEXPECTED_MESSAGE",
                "frame\\t1\\npool\\t1\\t1\\nentry\\ta\\t1\\t9\\nend\\n"
                        + " | line 3: state: expected 0, 2 or 3 | INVALID_VALUE",
            })
    void malformedInputIsReportedByLineAndField(String input, String message, Problem problem) {
        String wire = input.replace("\\n", "\n").replace("\\t", "\t");
        WireException e = assertThrows(WireException.class, () -> run(wire));
        assertTrue(e.getMessage().startsWith(message), e.getMessage());
        assertEquals(problem, e.problem());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "knock\\t1 | knock: expected 4 to 7 values | WRONG_FIELD_COUNT",
                "result\\t1\\t0\\th:1\\tGood\\t1\\t1 | ending: expected a known outcome | INVALID_VALUE",
                "result\\t1\\t0\\th:1\\tOk\\t1\\t2 | expected 0 or 1 | INVALID_VALUE",
                "result\\t1\\t0\\th:1\\tOk\\t1\\t1\\tqueue | feedback: expected name:value | INVALID_VALUE",
                "membership\\t7\\t1\\t1 | page: expected the number of a pool | INVALID_VALUE",
                "membership\\t3\\t1\\t8 | scope: expected 0, 1, 2 or 3 | INVALID_VALUE",
                "inbox\\t1\\t6 | contents: expected pairs of hex digits | INVALID_VALUE",
                "knock\\t1\\t-\\tget\\t5\\t-\\t0\\txyz | entity: expected hex digits | INVALID_VALUE",
                "tick_due\\t99999999999999999999 | name: expected a whole number | INVALID_VALUE",
                "frobnicate\\t1 | message: expected a known message | UNEXPECTED_MESSAGE",
            })
    void malformedEventsAreReportedByLineAndField(String event, String message, Problem problem) {
        String wire =
                START + "frame\t2000\nswitch_to\tnode/0\n" + event.replace("\\t", "\t") + "\nend\n";
        WireException e = assertThrows(WireException.class, () -> run(wire));
        assertEquals(10, e.line());
        assertTrue(
                e.getMessage().contains("line 10: ") && e.getMessage().contains(message),
                e.getMessage());
        assertEquals(problem, e.problem());
    }
}
