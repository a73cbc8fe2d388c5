package carawayswitch.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

import carawayswitch.http.ReceivedRequest;

/**
 * Codec for the HTTP headers of requests and responses. It only translates; decisions are
 * made elsewhere. Implementations are safe for use by several threads.
 */
public interface HeaderCodec {

	/**
	 * Decodes the headers of a client request.
	 * @param request the request
	 * @return the decoded metadata
	 */
	RequestMetadata decodeRequest(ReceivedRequest request);

	/**
	 * Creates the headers of a request to an endpoint.
	 * @param request the client's request
	 * @param forwarding parameters that this host adds
	 * @return new headers
	 */
	HttpHeaders endpointRequestHeaders(ReceivedRequest request, Forwarding forwarding);

	/**
	 * Decodes the head of an endpoint's response.
	 * @param response the response head
	 * @param attemptId id of the attempt that awaits the response, or empty
	 * @return the decoded head
	 */
	EndpointResponse decodeResponse(HttpResponse response, String attemptId);

	/**
	 * Returns whether a response carries the id of another attempt and not the expected
	 * one.
	 * @param response the response head
	 * @param attemptId id of the attempt that awaits the response
	 * @return true if the response names another attempt
	 */
	boolean namesOtherAttempt(HttpResponse response, String attemptId);

	/**
	 * Creates the headers of an endpoint's response that is forwarded to the client.
	 * @param response head of the endpoint's response
	 * @return new headers
	 */
	HttpHeaders clientResponseHeaders(HttpResponse response);

	/**
	 * Creates the headers of a response that this host generates itself.
	 * @param attemptId id of the attempt, or empty
	 * @param retryAfterMillis time in milliseconds after which the client should retry,
	 * or -1 for none
	 * @return new headers
	 */
	HttpHeaders localResponseHeaders(String attemptId, long retryAfterMillis);

	/**
	 * Parameters that this host adds to a forwarded request. Immutable.
	 *
	 * @param organisation name of the organisation, or null if the route needs no key
	 * @param endpointId id of the only endpoint that may run the request
	 * @param remainingMillis time until the deadline in milliseconds
	 * @param resumeAfterEventId id of the last event that the client received, or null to
	 * start a new stream
	 */
	record Forwarding(String organisation, String endpointId, long remainingMillis, String resumeAfterEventId) {

	}

}
