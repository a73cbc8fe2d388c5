package carawayswitch.gateway;

import java.time.Duration;

import io.netty.handler.codec.http.HttpHeaders;

import carawayswitch.http.ConnectionPool;
import carawayswitch.http.OutgoingRequest;
import carawayswitch.http.ReceivedRequest;

/**
 * Creates the requests to endpoints for one request of a client. Immutable.
 *
 * @param headerCodec codec of the headers
 * @param admitted the request of the client
 */
record EndpointRequests(HeaderCodec headerCodec, AdmittedRequest admitted) {

	/** Limit for opening a connection to an endpoint. */
	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

	/**
	 * Longest idle time in milliseconds of a keep-alive connection that may be reused for
	 * a repeatable request.
	 */
	private static final long REPEATABLE_IDLE_TIMEOUT_MILLIS = 30_000;

	/**
	 * Longest idle time in milliseconds of a keep-alive connection that may be reused for
	 * a non-repeatable request. Endpoints close idle connections after a few seconds, and
	 * a non-repeatable request that is lost on such a connection is not retried.
	 */
	private static final long NON_REPEATABLE_IDLE_TIMEOUT_MILLIS = 2000;

	/**
	 * Creates a request.
	 * @param endpointId id of the only endpoint that may run it
	 * @param remainingMillis time until the deadline in milliseconds
	 * @param resumeAfterEventId id of the last event that the client has got in this
	 * response, or null
	 * @return the request
	 */
	OutgoingRequest create(String endpointId, long remainingMillis, String resumeAfterEventId) {
		ReceivedRequest request = this.admitted.request();
		HeaderCodec.Forwarding forwarding = new HeaderCodec.Forwarding(
				(this.admitted.organisation() != null) ? this.admitted.organisationName() : null, endpointId,
				Math.max(1, remainingMillis), resumeAfterEventId);
		HttpHeaders headers = this.headerCodec.endpointRequestHeaders(request, forwarding);
		return new OutgoingRequest(request.method(), request.target(), headers, request.body());
	}

	ConnectionPool.Options options() {
		long maxIdleMillis = this.admitted.route().repeatable() ? REPEATABLE_IDLE_TIMEOUT_MILLIS
				: NON_REPEATABLE_IDLE_TIMEOUT_MILLIS;
		return new ConnectionPool.Options(CONNECT_TIMEOUT, maxIdleMillis, this.admitted.metadata().attemptId());
	}

}
