package trailthread.daemon.acceptor;

import io.undertow.server.HttpServerExchange;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import trailthread.api.RequestClass;
import trailthread.engine.call.CallTaker;
import trailthread.engine.meter.Rejection;

/** The platform's clients: one service, its classes and deadlines in headers of its own. */
public final class PlatformFront implements Front {
    private static final Logger LOG = LoggerFactory.getLogger(PlatformFront.class);

    private CallDecoder decoder;
    private final Taker taker;

    /** Makes one for these classes. */
    public PlatformFront(List<RequestClass> classes, CallTaker calls) {
        decoder = new CallDecoder(classes);
        taker = Taker.of(calls);
    }

    /**
     * Takes calls of these classes from now on; those whose head has been read are taken as they
     * are.
     */
    public void retune(List<RequestClass> classes) {
        decoder = new CallDecoder(classes);
    }

    @Override
    public String readyPath() {
        return "/ready";
    }

    @Override
    public Incoming read(HttpServerExchange exchange) {
        try {
            return new Incoming(
                    decoder.decode(
                            exchange.getRequestMethod().toString(),
                            exchange.getRequestURI(),
                            exchange.getQueryString(),
                            exchange.getRequestHeaders()),
                    taker,
                    false,
                    null);
        } catch (BadCallException e) {
            LOG.debug("no call: {}", e.getMessage());
            return Incoming.none(Rejection.BAD_REQUEST);
        }
    }
}
