package carawayswitch.gateway;

import carawayswitch.message.PlaceReply;
import carawayswitch.message.PlaceRequest;
import carawayswitch.outcome.ErrorKind;

/**
 * State of one place request at this host, from the request until the place is released.
 * Confined to the event loop thread. Times are monotonic milliseconds.
 */
final class Placement {

	private final PlaceRequest request;

	private final Listener listener;

	private final long requestedAt;

	private long lastSentAt;

	private String endpoint;

	private boolean firstEventReported;

	Placement(PlaceRequest request, Listener listener, long requestedAt) {
		this.request = request;
		this.listener = listener;
		this.requestedAt = requestedAt;
		this.lastSentAt = requestedAt;
	}

	long requestedAt() {
		return this.requestedAt;
	}

	long lastSentAt() {
		return this.lastSentAt;
	}

	void markResent(long now) {
		this.lastSentAt = now;
	}

	long waitLimitMillis() {
		return this.request.patienceMillis();
	}

	String id() {
		return this.request.requestId();
	}

	String service() {
		return this.request.service();
	}

	String kind() {
		return this.request.kind();
	}

	String organisation() {
		return this.request.organisation();
	}

	int capUnits() {
		return this.request.capUnits();
	}

	/**
	 * Returns the place request with the remaining times as of now.
	 * @param now monotonic time in milliseconds
	 * @return the request to send to the pool owner
	 */
	PlaceRequest request(long now) {
		long elapsed = now - this.requestedAt;
		PlaceRequest original = this.request;
		return new PlaceRequest(original.requestId(), original.service(), original.urgency(), original.kind(),
				original.organisation(), original.promptTokens(), original.outputTokens(),
				original.objectiveMillis() - elapsed, original.patienceMillis() - elapsed, original.zone(),
				original.excluded(), original.capUnits(), original.clientMillis() - elapsed, original.returnKey(),
				original.gapMillis(), original.resumed(), original.sharedSegments(), original.version(),
				original.begins(), original.routeUrgency(), original.bodyBytes(), original.backedOff());
	}

	Listener listener() {
		return this.listener;
	}

	String endpoint() {
		return this.endpoint;
	}

	void grant(String grantedEndpoint) {
		this.endpoint = grantedEndpoint;
	}

	boolean pending() {
		return this.endpoint == null;
	}

	/**
	 * Records that the first event of the response has arrived.
	 * @return true on the first call
	 */
	boolean markFirstEvent() {
		boolean firstCall = !this.firstEventReported;
		this.firstEventReported = true;
		return firstCall;
	}

	/**
	 * Returns the kind of the error with which a place is refused.
	 * @param reply reply of the owner
	 * @return the kind
	 */
	static ErrorKind rejectionKind(PlaceReply reply) {
		if (reply.quarantined()) {
			return ErrorKind.PROMPT_QUARANTINED;
		}
		return reply.overCap() ? ErrorKind.ORGANISATION_LIMIT : ErrorKind.NO_PLACE;
	}

	/**
	 * Receives the pool owner's decision on a place request.
	 */
	interface Listener {

		/**
		 * Handles a granted place.
		 * @param endpoint id of the engine
		 */
		void onGranted(String endpoint);

		/**
		 * Handles a rejection.
		 * @param kind kind of the error
		 * @param retryAfterMillis time in milliseconds after which to retry
		 * @param reason key of the rule that rejected the request
		 */
		void onRejected(ErrorKind kind, long retryAfterMillis, String reason);

	}

}
