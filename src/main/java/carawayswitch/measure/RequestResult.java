package carawayswitch.measure;

import carawayswitch.outcome.Outcome;

/**
 * How a request of a simulation ended. Times are milliseconds. Not safe for use by
 * several threads.
 */
final class RequestResult {

	final Request request;

	Outcome outcome;

	long firstTokenAt = -1;

	long endedAt = -1;

	RequestResult(Request request) {
		this.request = request;
	}

	boolean answeredInTime() {
		return this.outcome == Outcome.ANSWERED && this.endedAt <= this.request.deadlineMillis();
	}

	long firstTokenMillis() {
		return this.firstTokenAt - this.request.arrivalMillis();
	}

}
