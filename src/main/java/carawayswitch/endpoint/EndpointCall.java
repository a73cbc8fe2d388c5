package carawayswitch.endpoint;

/**
 * One call to an endpoint. Immutable.
 *
 * @param attemptId id of the attempt, which the endpoint uses to cancel and resume
 * @param method HTTP method
 * @param path path and query
 * @param contentType content type of the body, or empty
 * @param body body of the request
 * @param idempotencyKey key of the request, or empty
 * @param idempotent true if a repetition does no harm
 */
public record EndpointCall(String attemptId, String method, String path, String contentType, byte[] body,
		String idempotencyKey, boolean idempotent) {

}
