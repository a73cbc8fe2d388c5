package carawayswitch.gateway;

import carawayswitch.message.PlaceRequest;

/**
 * One request's place at an engine, from the wish to the end. Confined to the thread of
 * the event loop.
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

	void resent(long now) {
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

	String organisation() {
		return this.request.organisation();
	}

	int capUnits() {
		return this.request.capUnits();
	}

	/**
	 * Returns what is asked for, with the times that are left.
	 * @param now steady time in milliseconds
	 * @return the request to the owner of the pool
	 */
	PlaceRequest request(long now) {
		long elapsed = now - this.requestedAt;
		PlaceRequest original = this.request;
		return new PlaceRequest(original.requestId(), original.service(), original.urgency(), original.kind(),
				original.organisation(), original.promptTokens(), original.outputTokens(),
				original.objectiveMillis() - elapsed, original.patienceMillis() - elapsed, original.zone(),
				original.excluded(), original.capUnits(), original.clientMillis() - elapsed, original.returnKey());
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
	 * Marks the answer as begun.
	 * @return true the first time
	 */
	boolean markFirstEvent() {
		boolean firstCall = !this.firstEventReported;
		this.firstEventReported = true;
		return firstCall;
	}

	/**
	 * Receives the decision on a placement.
	 */
	interface Listener {

		/**
		 * Handles a granted place.
		 * @param endpoint id of the engine
		 */
		void onGranted(String endpoint);

		/**
		 * Handles a refusal.
		 * @param overCap true if the organisation exceeds its cap
		 * @param retryAfterMillis time in milliseconds after which a place is expected
		 * @param reason what decided
		 */
		void onRejected(boolean overCap, long retryAfterMillis, String reason);

	}

}
