package carawayswitch.schedule;

import java.util.List;

import carawayswitch.outcome.ErrorKind;

/**
 * Result of offering work to an endpoint's queue. Immutable.
 *
 * @param rejectionReason reason why the work was rejected, or null if it was queued
 * @param retryAfterMillis advised delay before a retry, in milliseconds
 * @param shedWork less urgent work that was shed in favour of the new work
 */
public record OfferResult(ErrorKind rejectionReason, long retryAfterMillis, List<Work> shedWork) {

	static OfferResult accepted(List<Work> shedWork) {
		return new OfferResult(null, 0, shedWork);
	}

	static OfferResult rejected(ErrorKind kind, long retryAfterMillis) {
		return new OfferResult(kind, retryAfterMillis, List.of());
	}

	/**
	 * Returns whether the work was queued.
	 * @return true if the work was queued
	 */
	public boolean accepted() {
		return this.rejectionReason == null;
	}

}
