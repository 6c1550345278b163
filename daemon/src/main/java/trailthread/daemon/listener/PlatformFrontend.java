package trailthread.daemon.listener;

import io.undertow.server.HttpServerExchange;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import trailthread.api.RequestClass;
import trailthread.engine.metrics.RejectionReason;
import trailthread.engine.request.RequestHandler;

/**
 * Frontend for the platform's clients: one service, whose clients state class and deadline in
 * headers.
 */
public final class PlatformFrontend implements RequestFrontend {
    private static final Logger LOG = LoggerFactory.getLogger(PlatformFrontend.class);

    private PlatformRequestDecoder decoder;
    private final Handler handler;

    /**
     * Makes a frontend.
     *
     * @param classes the request classes that clients may name
     * @param handler serves the requests
     */
    public PlatformFrontend(List<RequestClass> classes, RequestHandler handler) {
        decoder = new PlatformRequestDecoder(classes);
        this.handler = new UnboundedHandler(handler);
    }

    /** Replaces the request classes. Requests whose heads have been decoded keep their class. */
    public void applySettings(List<RequestClass> classes) {
        decoder = new PlatformRequestDecoder(classes);
    }

    @Override
    public String readyPath() {
        return "/ready";
    }

    @Override
    public DecodedHead decode(HttpServerExchange exchange) {
        try {
            return new DecodedHead(
                    decoder.decode(
                            exchange.getRequestMethod().toString(),
                            exchange.getRequestURI(),
                            exchange.getQueryString(),
                            exchange.getRequestHeaders()),
                    handler,
                    false,
                    null);
        } catch (BadRequestException e) {
            LOG.debug("bad request: {}", e.getMessage());
            return DecodedHead.rejected(RejectionReason.BAD_REQUEST);
        }
    }
}
