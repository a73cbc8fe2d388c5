package carawayswitch.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Decides on the order and the times of the first calls of a starting host to the store,
 * and forecasts when the host can serve requests. Invariants: a call begins only if no
 * other one is in progress, unless that one is slow and none has failed since the last
 * success; after a failure the next call begins after a random pause that grows. All
 * hosts that start while the store is down thus make about one call per second each. Does
 * no I/O. Not thread-safe.
 */
final class StartupReads {

	/**
	 * Time in milliseconds after which a call counts as slow, so that the next one begins
	 * beside it. A store whose answers are lost delays the others by no more.
	 */
	static final long SLOW_CALL_MILLIS = 250;

	/**
	 * Mean pause after the first failure, in milliseconds; doubled by each further one.
	 */
	static final long FIRST_PAUSE_MILLIS = 250;

	/** Largest mean pause after a failure, in milliseconds. */
	static final long MAX_PAUSE_MILLIS = 1000;

	/** Assumed duration of a call before one has ended, in milliseconds. */
	static final long ASSUMED_CALL_MILLIS = 100;

	/** Longest forecast in milliseconds. */
	static final long MAX_FORECAST_MILLIS = 5000;

	private final List<String> order;

	private final int essentialCount;

	private final RandomGenerator random;

	/** Calls to be made, the next one first. */
	private final List<String> due;

	/** Starts of the calls in progress, in milliseconds. */
	private final Map<String, Long> running = new HashMap<>();

	private long latestStart;

	private int failuresInRow;

	private long failingSince;

	private long pauseEnd;

	private long callMillis = ASSUMED_CALL_MILLIS;

	/**
	 * Creates the plan of a host that starts.
	 * @param order names of the calls, the most urgent one first
	 * @param essentialCount number of calls, from the first one, without which no request
	 * can be served
	 * @param random source of the random pauses
	 */
	StartupReads(List<String> order, int essentialCount, RandomGenerator random) {
		this.order = List.copyOf(order);
		this.essentialCount = essentialCount;
		this.random = random;
		this.due = new ArrayList<>(order);
	}

	/**
	 * Returns the call that begins now.
	 * @param now monotonic time in milliseconds
	 * @return name of the call, or empty if none begins yet
	 */
	Optional<String> begin(long now) {
		boolean occupied = !this.running.isEmpty()
				&& (this.failuresInRow > 0 || now - this.latestStart < SLOW_CALL_MILLIS);
		if (this.due.isEmpty() || occupied || this.failuresInRow > 0 && now < this.pauseEnd) {
			return Optional.empty();
		}
		String name = this.due.remove(0);
		this.running.put(name, now);
		this.latestStart = now;
		return Optional.of(name);
	}

	/**
	 * Returns when {@link #begin} should be asked again if no call ends before.
	 * @param now monotonic time in milliseconds
	 * @return the time from now in milliseconds, or -1 if nothing begins before a call
	 * ends
	 */
	long nextCheckMillis(long now) {
		if (this.due.isEmpty()) {
			return -1;
		}
		if (this.failuresInRow > 0) {
			return this.running.isEmpty() ? Math.max(0, this.pauseEnd - now) : -1;
		}
		return this.running.isEmpty() ? 0 : Math.max(0, this.latestStart + SLOW_CALL_MILLIS - now);
	}

	/**
	 * Records that a call has succeeded. The most urgent one of the others is next.
	 * @param name name of the call
	 * @param now monotonic time in milliseconds
	 */
	void succeeded(String name, long now) {
		Long start = this.running.remove(name);
		if (start != null) {
			this.callMillis = Math.max(1, now - start);
		}
		this.due.remove(name);
		this.due.sort(Comparator.comparingInt(this.order::indexOf));
		this.failuresInRow = 0;
	}

	/**
	 * Records that a call has failed. The others come before it is made again, since the
	 * store may fail for one topic only. Several failures of one call make it due once:
	 * the reader may also have read outside of this plan.
	 * @param name name of the call
	 * @param now monotonic time in milliseconds
	 */
	void failed(String name, long now) {
		this.running.remove(name);
		if (!this.due.contains(name)) {
			this.due.add(name);
		}
		this.failingSince = (this.failuresInRow == 0) ? now : this.failingSince;
		long mean = Math.min(MAX_PAUSE_MILLIS, FIRST_PAUSE_MILLIS << Math.min(this.failuresInRow, 8));
		this.failuresInRow++;
		this.pauseEnd = now + mean / 2 + this.random.nextLong(mean + 1);
	}

	/**
	 * Returns whether all calls have succeeded.
	 * @return false while one is due or in progress
	 */
	boolean ended() {
		return this.due.isEmpty() && this.running.isEmpty();
	}

	/**
	 * Forecasts when the essential calls have succeeded. A failure or a slow call is
	 * expected to last as long again as it has lasted.
	 * @param now monotonic time in milliseconds
	 * @return the time from now in milliseconds, or 0 if they have
	 */
	long forecastMillis(long now) {
		int missing = 0;
		long oldest = now;
		for (String name : this.order.subList(0, this.essentialCount)) {
			if (this.running.containsKey(name) || this.due.contains(name)) {
				missing++;
				oldest = Math.min(oldest, this.running.getOrDefault(name, now));
			}
		}
		if (missing == 0) {
			return 0;
		}
		long elapsed = now - oldest;
		long calls = missing * this.callMillis;
		long forecast = (elapsed <= this.callMillis) ? calls - elapsed : elapsed + calls - this.callMillis;
		if (this.failuresInRow > 0) {
			forecast = Math.max(Math.max(0, this.pauseEnd - now) + calls, now - this.failingSince);
		}
		return Math.min(MAX_FORECAST_MILLIS, forecast);
	}

}
