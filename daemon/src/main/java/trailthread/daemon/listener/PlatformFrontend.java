package trailthread.daemon.listener;

import io.undertow.server.HttpServerExchange;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import trailthread.api.RequestClass;
import trailthread.engine.metrics.RejectionReason;
import trailthread.engine.request.RequestHandler;

/** The platform's clients: one service, its classes and deadlines in headers of its own. */
public final class PlatformFrontend implements RequestFrontend {
    private static final Logger LOG = LoggerFactory.getLogger(PlatformFrontend.class);

    private PlatformRequestDecoder decoder;
    private final Taker taker;

    /** Makes one for these classes. */
    public PlatformFrontend(List<RequestClass> classes, RequestHandler calls) {
        decoder = new PlatformRequestDecoder(classes);
        taker = Taker.of(calls);
    }

    /**
     * Takes calls of these classes from now on; those whose head has been read are taken as they
     * are.
     */
    public void retune(List<RequestClass> classes) {
        decoder = new PlatformRequestDecoder(classes);
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
        } catch (BadRequestException e) {
            LOG.debug("no call: {}", e.getMessage());
            return Incoming.none(RejectionReason.BAD_REQUEST);
        }
    }
}
