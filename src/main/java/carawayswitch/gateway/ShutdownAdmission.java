package carawayswitch.gateway;

import carawayswitch.route.RequestKind;

/**
 * Decides which requests a stopping host still accepts. Times are monotonic milliseconds.
 * Stateless.
 */
final class ShutdownAdmission {

	/**
	 * Time in milliseconds after the start of a graceful shutdown during which new
	 * streaming requests are still accepted.
	 */
	private static final long STREAM_ADMISSION_MILLIS = 3000;

	/**
	 * Time in milliseconds reserved at the end of the grace period for writing the last
	 * responses and for the process to exit.
	 */
	private static final long EXIT_RESERVE_MILLIS = 600;

	/**
	 * Time in milliseconds between the latest deadline of an accepted request and the
	 * time at which the host ends all requests.
	 */
	private static final long DEADLINE_MARGIN_MILLIS = 100;

	private ShutdownAdmission() {
	}

	/**
	 * Returns whether a request may be accepted, or still wait, at a stopping host: one
	 * that must have ended before the host exits, by its deadline, or a stream at the
	 * beginning of the shutdown.
	 * @param kind kind of the request
	 * @param deadlineAt time at which it must have been answered
	 * @param stoppingSince time at which the shutdown began
	 * @param graceMillis grace period of a shutdown in milliseconds
	 * @param now current time
	 * @return false if the request must be rejected
	 */
	static boolean accepts(RequestKind kind, long deadlineAt, long stoppingSince, long graceMillis, long now) {
		boolean endsInTime = deadlineAt <= exitAt(stoppingSince, graceMillis) - DEADLINE_MARGIN_MILLIS;
		return endsInTime || kind == RequestKind.STREAMING && now - stoppingSince <= STREAM_ADMISSION_MILLIS;
	}

	/**
	 * Returns the time at which a stopping host ends the requests that are still in
	 * progress.
	 * @param stoppingSince time at which the shutdown began
	 * @param graceMillis grace period of a shutdown in milliseconds
	 * @return the time
	 */
	static long exitAt(long stoppingSince, long graceMillis) {
		return stoppingSince + graceMillis - EXIT_RESERVE_MILLIS;
	}

}
