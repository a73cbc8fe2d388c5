package carawayswitch.schedule;

import java.util.List;

import carawayswitch.outcome.ErrorKind;

/**
 * Result of offering work to an endpoint's queue. Immutable.
 *
 * @param rejectionReason why the work was refused, or null if it was queued
 * @param retryAfterMillis advised delay of a retry in milliseconds
 * @param dropped less urgent work that was dropped to make room
 */
public record OfferResult(ErrorKind rejectionReason, long retryAfterMillis, List<Work> dropped) {

	static OfferResult accepted(List<Work> dropped) {
		return new OfferResult(null, 0, dropped);
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
