package carawayswitch.gateway;

/**
 * Decoded head of an endpoint's response. Immutable.
 *
 * @param status HTTP status
 * @param attributable false if the response does not name the attempt although the
 * request did, or names more than one
 * @param notRun true if the endpoint states that it did not run the request
 * @param sealed true if the response carries exactly one seal of the endpoint
 * @param encoded true if the body has a content encoding that was not requested
 * @param eventStream true if the body is an event stream
 * @param requestLimit requests per second that the endpoint takes from all hosts
 * together, or 0 if it names no limit
 * @param leaving true if the endpoint says that it is leaving
 * @param retryAfterMillis time in milliseconds after which the endpoint wants to be asked
 * again, 0 if it names none, or {@link #UNUSABLE_RETRY_AFTER}
 */
public record EndpointResponse(int status, boolean attributable, boolean notRun, boolean sealed, boolean encoded,
		boolean eventStream, double requestLimit, boolean leaving, long retryAfterMillis) {

	/** Stands for a time that the endpoint names and that is no valid one. */
	public static final long UNUSABLE_RETRY_AFTER = -1;

	private static final int OK = 200;

	private static final int MULTIPLE_CHOICES = 300;

	private static final int REQUEST_TIMEOUT = 408;

	private static final int MISDIRECTED = 421;

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int UNAVAILABLE = 503;

	/**
	 * Classifies the response. One that names no attempt may belong to another request. A
	 * sealed 408, 429 or 503 without the statement that the request has not run is
	 * unusable: these statuses would promise the client that it has not.
	 * @return the classification
	 */
	public Classification classify() {
		if (!this.attributable) {
			return Classification.UNUSABLE;
		}
		if (this.notRun || this.status == MISDIRECTED) {
			return Classification.NOT_RUN;
		}
		if (this.encoded || !this.sealed) {
			return Classification.UNUSABLE;
		}
		if (this.status >= OK && this.status < MULTIPLE_CHOICES) {
			return Classification.SUCCESS;
		}
		boolean claimsNotRun = this.status == REQUEST_TIMEOUT || this.status == TOO_MANY_REQUESTS
				|| this.status == UNAVAILABLE;
		return claimsNotRun ? Classification.UNUSABLE : Classification.FAILURE;
	}

	/**
	 * Returns whether another endpoint than the expected one has answered.
	 * @return true if it has
	 */
	public boolean misdirected() {
		return this.status == MISDIRECTED;
	}

	/**
	 * Returns the time for which the endpoint, which has turned the request away, wants
	 * no request of this host.
	 * @return time in milliseconds, 0 if there is none, or {@link #UNUSABLE_RETRY_AFTER}
	 */
	public long backoffMillis() {
		return (this.status == UNAVAILABLE) ? this.retryAfterMillis : 0;
	}

	/**
	 * Handling of an endpoint's response. Immutable.
	 */
	public enum Classification {

		/** A success to forward to the client. */
		SUCCESS,

		/** An error of the endpoint to forward to the client. */
		FAILURE,

		/** The endpoint did not run the request, so it can be sent elsewhere. */
		NOT_RUN,

		/** The response must not be forwarded; the request may have run. */
		UNUSABLE

	}

}
