package trailthread.daemon.listener;

import trailthread.engine.request.ClientRequest;
import trailthread.engine.request.ClientResponse;
import trailthread.engine.request.RequestHandler;

/**
 * Serves the requests of a single service, which has no limit of its own on the memory of bodies.
 */
final class UnboundedHandler implements RequestFrontend.Handler {
    private final RequestHandler handler;

    UnboundedHandler(RequestHandler handler) {
        this.handler = handler;
    }

    @Override
    public boolean isInFlight(String id) {
        return handler.isOpen(id) || handler.isSpent(id);
    }

    @Override
    public Runnable handle(
            ClientRequest request, long deadline, ClientResponse response, long reservedBytes) {
        return reservedBytes == NOT_RESERVED
                ? handler.handleUnadmitted(request, deadline, response)
                : handler.handle(request, deadline, response);
    }
}
