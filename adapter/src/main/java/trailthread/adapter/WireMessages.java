package trailthread.adapter;

/** The words of the wire for messages; each constant is named by the meaning of its word. */
final class WireMessages {
    // Framing
    static final String FRAME = "frame";
    static final String END_OF_BATCH = "end";
    static final String END_OF_REPLY = "next";

    // Control of instances
    static final String SELECT_INSTANCE = "switch_to";
    static final String START_INSTANCE = "begin";
    static final String STOP_INSTANCE = "stop";
    static final String ENDPOINT_PAGE = "pool";
    static final String ENDPOINT_ENTRY = "entry";

    // Events for an instance
    static final String ENDPOINT_LIST = "membership";
    static final String REQUEST = "knock";
    static final String FIRST_BYTE = "head_received";
    static final String OUTCOME = "result";
    static final String CLIENT_DISCONNECTED = "timed_out_client";
    static final String TIMER_DUE = "tick_due";
    static final String HEALTH_CHECKED = "health_result";
    static final String PEER_MESSAGE = "inbox";

    // Actions of an instance
    static final String ACTIONS_OF = "from";
    static final String SEND = "forward";
    static final String REJECT = "push_back";
    static final String FAIL = "error";
    static final String CANCEL = "withdraw";
    static final String START_TIMER = "after";
    static final String HEALTH_CHECK = "sample";
    static final String CLOSE_IDLE = "shut_idle";
    static final String SEND_TO_PEER = "signal";
    static final String WATCH_LIST = "tail";
    static final String FETCH_LIST = "get_list";
    static final String LOG = "trace";
    static final String INTERNAL_ERROR = "internal_error";

    private WireMessages() {}
}
