package carawayswitch.schedule;

import java.util.random.RandomGenerator;

/**
 * Pause before a request is sent again to a plain service whose endpoints have all
 * rejected it. Endpoints reject while their queue is full; without a pause a request
 * spends all of its attempts within a few milliseconds, and the rejections of many hosts
 * keep the endpoints busy. Stateless.
 */
public final class RetryPause {

	/**
	 * Shortest and longest pause as shares of the objective, so that two pauses and the
	 * work still fit into it. The pause is random, so that the hosts do not return
	 * together.
	 */
	static final double MIN_OBJECTIVE_SHARE = 0.1;

	static final double MAX_OBJECTIVE_SHARE = 0.3;

	private RetryPause() {
	}

	/**
	 * Returns the pause before the next attempt.
	 * @param endpointLeft true if an endpoint is left that has not rejected the request
	 * @param objectiveMillis objective of the route in milliseconds
	 * @param random source of random numbers
	 * @return the pause in milliseconds, 0 if an endpoint is left
	 */
	public static long millis(boolean endpointLeft, long objectiveMillis, RandomGenerator random) {
		return endpointLeft ? 0
				: (long) (objectiveMillis * random.nextDouble(MIN_OBJECTIVE_SHARE, MAX_OBJECTIVE_SHARE));
	}

}
