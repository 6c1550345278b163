package trailthread.node.roster;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSourceChannel;
import trailthread.node.loop.Loop;

/** The roster's side: fetches the list and watches it, as the module asks. */
public final class Roster {
    private static final Logger LOG = LoggerFactory.getLogger(Roster.class);
    private static final String PATH = "/v1/endpoints";
    /** No queue is in the way of a connect, so one that takes longer meets a cut link. */
    private static final long CONNECT_WITHIN_NS = 1_000_000_000L;
    /** Calls wait in turn at the roster and fail there by themselves; past this the roster is silent. */
    private static final long ANSWER_WITHIN_NS = 4_000_000_000L;
    /** A watch sends an empty line every 2 s; two missed and a part say that it is broken. */
    private static final long LINE_WITHIN_NS = 4_500_000_000L;

    private final Loop loop;
    private URI uri;
    private final RosterListener listener;
    /** The version held, or -1. */
    private long generation = -1;
    private Exchange watch;
    /** All that is out, the watch too. */
    private final Set<Exchange> open = new HashSet<>();
    private boolean failing;

    public Roster(Loop loop, InetSocketAddress address, RosterListener listener) {
        this.loop = loop;
        this.uri = uri(address);
        this.listener = listener;
    }

    private static URI uri(InetSocketAddress address) {
        return URI.create("http://" + address.getHostString() + ":" + address.getPort());
    }

    /** The roster is at another address from now on; what is out at the old one is asked again there. */
    public void move(InetSocketAddress address) {
        if (uri.equals(uri(address))) {
            return;
        }
        uri = uri(address);
        LOG.info("roster is at {} from now on", uri.getAuthority());
        boolean watched = watch != null;
        for (Exchange old : List.copyOf(open)) {
            old.close(); // unheard: that the old address ends its watches is no failure of the new one's
            if (!old.watches) {
                fetch();
            }
        }
        watch = null;
        watch(watched);
    }

    /** The list that the node knew before. */
    public void known(RosterUpdate update) {
        generation = update.generation();
    }

    /** Watches from now on, if it does not yet; or stops. */
    public void watch(boolean on) {
        if (!on) {
            if (watch != null) {
                watch.close();
                watch = null;
            }
        } else if (watch == null) {
            watch = new Exchange(true, PATH + "?stream=1&index=" + generation);
            watch.start();
        }
    }

    /** Asks for the whole list once. */
    public void fetch() {
        new Exchange(false, PATH).start();
    }

    /** One call to the roster: a watch goes on until it breaks, a fetch ends with its one object. */
    private final class Exchange {
        private final boolean watches;
        private final String target;
        private final RosterLines lines = new RosterLines();
        private ClientConnection connection;
        private XnioExecutor.Key silence;
        private boolean over;

        Exchange(boolean watches, String target) {
            this.watches = watches;
            this.target = target;
        }

        void start() {
            open.add(this);
            expectWithin(CONNECT_WITHIN_NS);
            UndertowClient.getInstance().connect(new ClientCallback<ClientConnection>() {
                @Override
                public void completed(ClientConnection opened) {
                    connection = opened;
                    if (over) {
                        IoUtils.safeClose(opened);
                    } else {
                        ask();
                    }
                }

                @Override
                public void failed(IOException e) {
                    fail("cannot be reached");
                }
            }, uri, loop.thread(), loop.buffers(), OptionMap.EMPTY);
        }

        private void ask() {
            expectWithin(ANSWER_WITHIN_NS);
            ClientRequest head = new ClientRequest().setMethod(Methods.GET).setPath(target);
            head.getRequestHeaders().put(Headers.HOST, uri.getAuthority());
            connection.sendRequest(head, new ClientCallback<ClientExchange>() {
                @Override
                public void completed(ClientExchange exchange) {
                    exchange.setResponseListener(new ClientCallback<>() {
                        @Override
                        public void completed(ClientExchange answered) {
                            int status = answered.getResponse().getResponseCode();
                            if (status != 200) {
                                fail("answers " + status);
                                return;
                            }
                            StreamSourceChannel channel = answered.getResponseChannel();
                            channel.getReadSetter().set(readable -> read(channel));
                            read(channel);
                        }

                        @Override
                        public void failed(IOException e) {
                            fail("breaks off");
                        }
                    });
                }

                @Override
                public void failed(IOException e) {
                    fail("breaks off");
                }
            });
        }

        private void read(StreamSourceChannel channel) {
            try (var pooled = loop.buffers().allocate()) {
                ByteBuffer buffer = pooled.getBuffer();
                while (!over) {
                    buffer.clear();
                    int count = channel.read(buffer);
                    if (count < 0) {
                        take(lines.rest());
                        fail("ends the watch");
                        return;
                    }
                    if (count == 0) {
                        channel.resumeReads();
                        return;
                    }
                    expectWithin(LINE_WITHIN_NS);
                    buffer.flip();
                    for (String line : lines.add(buffer)) {
                        take(line);
                    }
                }
            } catch (IOException e) {
                fail(e.getMessage());
            }
        }

        private void take(String line) throws IOException {
            if (over || line.isBlank()) {
                return;
            }
            RosterUpdate update = RosterParser.parse(line);
            generation = update.generation();
            if (failing) {
                LOG.info("roster is back, at generation {}", generation);
                failing = false;
            }
            if (!watches) {
                close();
            }
            listener.told(update);
        }

        private void expectWithin(long ns) {
            if (silence != null) {
                silence.remove();
            }
            silence = loop.after(ns, () -> fail("is silent"));
        }

        private void fail(String how) {
            if (over) {
                return;
            }
            if (!failing) { // one line for a row of failures
                LOG.warn("roster {}: going on with the list of generation {}", how, generation);
                failing = true;
            }
            close();
            if (watches) {
                watch = null;
            }
            listener.failed();
        }

        private void close() {
            over = true;
            open.remove(this);
            silence.remove();
            IoUtils.safeClose(connection);
        }
    }
}
