package trailthread.engine.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;

/** How the end of a response's body is found (RFC 9112, 6.3). */
enum BodyFraming {
    /** The response has no body. */
    NONE,
    /** The head holds the length. */
    CONTENT_LENGTH,
    /** The body comes in chunks, each with its length. */
    CHUNKED,
    /** The body ends with the connection. */
    UNTIL_CLOSE;

    /**
     * Returns the framing of the body that follows a head.
     *
     * @param isHeadRequest whether the request's method was HEAD
     * @throws MalformedResponseException if two readers could differ on where the response ends
     */
    static BodyFraming of(int status, HeaderMap headers, boolean isHeadRequest)
            throws MalformedResponseException {
        int lengths = headers.count(Headers.CONTENT_LENGTH);
        int encodings = headers.count(Headers.TRANSFER_ENCODING);
        boolean isChunked = encodings > 0;
        if (lengths > 1 || (isChunked && (lengths > 0 || !isOnlyChunked(headers, encodings)))) {
            throw new MalformedResponseException("an ambiguous body length");
        }
        if (isHeadRequest
                || status == StatusCodes.NO_CONTENT
                || status == StatusCodes.NOT_MODIFIED) {
            return NONE;
        }
        if (isChunked) {
            return CHUNKED;
        }
        return lengths == 1 ? CONTENT_LENGTH : UNTIL_CLOSE;
    }

    private static boolean isOnlyChunked(HeaderMap headers, int encodings) {
        return encodings == 1
                && "chunked".equalsIgnoreCase(headers.getFirst(Headers.TRANSFER_ENCODING));
    }
}
