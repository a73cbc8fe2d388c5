package carawayswitch.gateway;

/**
 * What the head of an endpoint's answer says. Immutable.
 *
 * @param status HTTP status
 * @param notRun true if the endpoint states that it did not run the request
 * @param sealed true if the answer carries the endpoint's seal
 * @param encoded true if the body has a content encoding that nobody asked for
 * @param eventStream true if the body is a stream of events
 */
public record EndpointResponse(int status, boolean notRun, boolean sealed, boolean encoded, boolean eventStream) {

	private static final int OK = 200;

	private static final int MULTIPLE_CHOICES = 300;

	private static final int REQUEST_TIMEOUT = 408;

	private static final int MISDIRECTED = 421;

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int UNAVAILABLE = 503;

	/**
	 * Decides what to do with the answer.
	 * @return the verdict
	 */
	public Classification classify() {
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
	 * What an endpoint's answer means. Immutable.
	 */
	public enum Classification {

		/** A success to pass on. */
		SUCCESS,

		/** A failure of the endpoint to pass on. */
		FAILURE,

		/** The request did not run. */
		NOT_RUN,

		/** Not an answer that can be passed on; the request may have run. */
		UNUSABLE

	}

}
