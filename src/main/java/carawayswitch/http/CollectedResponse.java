package carawayswitch.http;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A complete response. Immutable by convention.
 *
 * @param status status code
 * @param headers headers
 * @param body body
 */
public record CollectedResponse(int status, HttpHeaders headers, byte[] body) {

}
