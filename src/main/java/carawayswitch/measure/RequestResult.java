package carawayswitch.measure;

import carawayswitch.outcome.Outcome;

/**
 * Outcome and times of a request in a simulation. Times are virtual milliseconds, or -1
 * before the event. Not safe for use by several threads.
 */
final class RequestResult {

	final Request request;

	Outcome outcome;

	long firstTokenAt = -1;

	long endedAt = -1;

	RequestResult(Request request) {
		this.request = request;
	}

	/**
	 * Returns whether the request was answered within its deadline.
	 * @return true if the request counts towards the goodput
	 */
	boolean answeredInTime() {
		return this.outcome == Outcome.ANSWERED && this.endedAt <= this.request.deadlineMillis();
	}

	/**
	 * Returns the time to first token. Valid only after the first token.
	 * @return time since the arrival in milliseconds
	 */
	long firstTokenMillis() {
		return this.firstTokenAt - this.request.arrivalMillis();
	}

}
