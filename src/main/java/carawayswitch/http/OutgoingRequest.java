package carawayswitch.http;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A request to send. Immutable by convention.
 *
 * @param method HTTP method
 * @param target path and query
 * @param headers headers without framing headers
 * @param body body
 */
public record OutgoingRequest(String method, String target, HttpHeaders headers, byte[] body) {

}
