package carawayswitch.http;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * An HTTP request to send to a server. Immutable by convention.
 *
 * @param method HTTP method
 * @param target path and query
 * @param headers headers; the framing headers are set by the connection
 * @param body body
 */
public record OutgoingRequest(String method, String target, HttpHeaders headers, byte[] body) {

}
