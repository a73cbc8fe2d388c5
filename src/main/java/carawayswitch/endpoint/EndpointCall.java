package carawayswitch.endpoint;

/**
 * One call to an endpoint. Immutable.
 *
 * @param attemptId id of the attempt, by which the endpoint identifies the call in cancel
 * and resume requests
 * @param method HTTP method
 * @param path path and query
 * @param contentType content type of the body, or empty
 * @param body request body
 * @param idempotencyKey idempotency key of the request, or empty
 * @param idempotent true if the call can be repeated safely
 */
public record EndpointCall(String attemptId, String method, String path, String contentType, byte[] body,
		String idempotencyKey, boolean idempotent) {

}
