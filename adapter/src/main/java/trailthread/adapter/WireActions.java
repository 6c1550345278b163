package trailthread.adapter;

import trailthread.api.BalancerActions;

/** Writes the actions of one instance as messages of the current reply. */
final class WireActions implements BalancerActions {
    /** The longest delay of a timer; longer delays are cut to it: 70 minutes, in ns. */
    private static final long MAX_TIMER_NS = 70L * 60 * 1_000_000_000;

    private final String instance;
    private final WireWriter writer;

    WireActions(String instance, WireWriter writer) {
        this.instance = instance;
        this.writer = writer;
    }

    @Override
    public void send(long id, long timeoutNs, long writeDeadline, String endpoint) {
        writer.beginMessage(instance, WireMessages.SEND);
        writer.numberField(id);
        writer.numberField(timeoutNs);
        writer.nameField(endpoint);
        writer.endMessage();
    }

    @Override
    public void reject(long id, long retryAfterNs) {
        writer.beginMessage(instance, WireMessages.REJECT);
        writer.numberField(id);
        writer.numberField(retryAfterNs);
        writer.endMessage();
    }

    @Override
    public void fail(long id) {
        writer.beginMessage(instance, WireMessages.FAIL);
        writer.numberField(id);
        writer.endMessage();
    }

    @Override
    public void cancel(long id, int attempt) {
        writer.beginMessage(instance, WireMessages.CANCEL);
        writer.numberField(id);
        writer.numberField(attempt);
        writer.endMessage();
    }

    @Override
    public void setTimer(long delayNs, long token) {
        writer.beginMessage(instance, WireMessages.START_TIMER);
        writer.numberField(Math.max(0, Math.min(delayNs, MAX_TIMER_NS)));
        writer.numberField(token);
        writer.endMessage();
    }

    @Override
    public void checkHealth(String endpoint) {
        writer.beginMessage(instance, WireMessages.HEALTH_CHECK);
        writer.nameField(endpoint);
        writer.endMessage();
    }

    @Override
    public void closeIdleConnections(String endpoint) {
        writer.beginMessage(instance, WireMessages.CLOSE_IDLE);
        writer.nameField(endpoint);
        writer.endMessage();
    }

    @Override
    public void sendToPeer(int peer, byte[] data) {
        writer.beginMessage(instance, WireMessages.SEND_TO_PEER);
        writer.numberField(peer);
        writer.hexField(data);
        writer.endMessage();
    }

    @Override
    public void watchList(boolean on) {
        writer.beginMessage(instance, WireMessages.WATCH_LIST);
        writer.numberField(on ? 1 : 0);
        writer.endMessage();
    }

    @Override
    public void fetchList() {
        writer.beginMessage(instance, WireMessages.FETCH_LIST);
        writer.endMessage();
    }

    @Override
    public void log(String text) {
        writer.beginMessage(instance, WireMessages.LOG);
        writer.textField(text);
        writer.endMessage();
    }
}
