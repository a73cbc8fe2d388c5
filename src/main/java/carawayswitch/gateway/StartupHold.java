package carawayswitch.gateway;

/**
 * Decides whether a request waits for a starting host, or is refused at once so that its
 * client has time for another try. Stateless.
 */
final class StartupHold {

	/** Longest time in milliseconds for which a request waits. */
	static final long MAX_MILLIS = 1000;

	/** Longest wait in milliseconds of a request that states no time limit. */
	static final long UNLIMITED_MILLIS = 250;

	/**
	 * Retry time in milliseconds while the store holds no configuration; only an operator
	 * can change that.
	 */
	static final long NO_CONFIGURATION_MILLIS = 1000;

	/** Longest random part of a retry time that is added to a short forecast. */
	private static final long MIN_SPREAD_MILLIS = 100;

	private StartupHold() {
	}

	/**
	 * Returns how long a request may wait in all: an eighth of its time limit, or half of
	 * its objective if its route is known and that is more.
	 * @param limitMillis time limit of the client in milliseconds, or -1 if it states
	 * none
	 * @param objectiveMillis objective of the route in milliseconds, or -1 if it is not
	 * known
	 * @return the longest wait in milliseconds
	 */
	static long budgetMillis(long limitMillis, long objectiveMillis) {
		long byLimit = (limitMillis >= 0) ? limitMillis / 8 : UNLIMITED_MILLIS;
		return Math.min(MAX_MILLIS, Math.max(byLimit, objectiveMillis / 2));
	}

	/**
	 * Returns whether a request waits on.
	 * @param waitedMillis time since its arrival in milliseconds
	 * @param forecastMillis time in which the host is expected to serve it, in
	 * milliseconds
	 * @param budgetMillis longest wait in milliseconds
	 * @return false if it is refused now
	 */
	static boolean holds(long waitedMillis, long forecastMillis, long budgetMillis) {
		return waitedMillis + forecastMillis < budgetMillis;
	}

	/**
	 * Returns the retry time of a refused request. Random, so that the requests that were
	 * refused together do not return together.
	 * @param forecastMillis time in which the host is expected to serve requests, in
	 * milliseconds
	 * @param fraction uniformly distributed random number from 0 to 1
	 * @return the retry time in milliseconds, not before the expected one
	 */
	static long retryMillis(long forecastMillis, double fraction) {
		return forecastMillis + (long) (Math.max(MIN_SPREAD_MILLIS, forecastMillis / 2) * fraction);
	}

}
