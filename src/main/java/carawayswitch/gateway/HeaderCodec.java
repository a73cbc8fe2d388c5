package carawayswitch.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

import carawayswitch.http.ReceivedRequest;

/**
 * Headers of requests and answers. Translates and decides nothing. Implementations are
 * safe for use by several threads.
 */
public interface HeaderCodec {

	/**
	 * Decodes a client's request.
	 * @param request the request
	 * @return what it says
	 */
	RequestMetadata decodeRequest(ReceivedRequest request);

	/**
	 * Creates the headers of a request to an endpoint.
	 * @param request the client's request
	 * @param forwarding what this host adds
	 * @return new headers
	 */
	HttpHeaders endpointRequestHeaders(ReceivedRequest request, Forwarding forwarding);

	/**
	 * Decodes the head of an endpoint's answer.
	 * @param response the head
	 * @return what it says
	 */
	EndpointResponse decodeResponse(HttpResponse response);

	/**
	 * Returns whether an answer names another attempt than the one that awaits it.
	 * @param response the head
	 * @param attemptId id of the attempt that awaits an answer
	 * @return true if it belongs to another attempt
	 */
	boolean namesOtherAttempt(HttpResponse response, String attemptId);

	/**
	 * Creates the headers of an answer that is passed on to a client.
	 * @param response head of the endpoint's answer
	 * @return new headers
	 */
	HttpHeaders clientResponseHeaders(HttpResponse response);

	/**
	 * Creates the headers of an answer of this host's own.
	 * @param attemptId id of the attempt
	 * @param retryAfterMillis advised wait in milliseconds, or -1 for none
	 * @return new headers
	 */
	HttpHeaders localResponseHeaders(String attemptId, long retryAfterMillis);

	/**
	 * What this host adds to a request. Immutable.
	 *
	 * @param organisation name of the organisation, or null if the route needs no key
	 * @param endpointId id of the only endpoint that may run the request
	 * @param remainingMillis time left in milliseconds
	 * @param resumeAfterEventId id of the last event that the client has, or null
	 */
	record Forwarding(String organisation, String endpointId, long remainingMillis, String resumeAfterEventId) {

	}

}
