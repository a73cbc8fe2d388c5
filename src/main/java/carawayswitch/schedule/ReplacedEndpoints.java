package carawayswitch.schedule;

import java.util.HashMap;
import java.util.Map;

/**
 * Starts of endpoints at whose address another endpoint answers. The registration of an
 * endpoint that has crashed outlives it by several heartbeats, and a new one may answer
 * at its address meanwhile. Such an endpoint has no requests in flight, so that it would
 * draw all new work and reject it. Times are milliseconds. Not safe for use by several
 * threads.
 */
public final class ReplacedEndpoints {

	/**
	 * Time in milliseconds for which a start counts as replaced. The registration of an
	 * endpoint that has crashed expires within it; a sound endpoint that has rejected a
	 * request by mistake is used again after it.
	 */
	public static final long RETENTION_MILLIS = 8000;

	private final Map<String, Long> replacedAt = new HashMap<>();

	/**
	 * Records that another endpoint has answered at the address of an endpoint.
	 * @param start start of the endpoint that was expected
	 * @param now time in milliseconds
	 * @return true if it did not count as replaced
	 */
	public boolean onReplaced(String start, long now) {
		boolean known = contains(start, now);
		this.replacedAt.put(start, now);
		return !known;
	}

	/**
	 * Returns whether a start counts as replaced.
	 * @param start start of an endpoint
	 * @param now time in milliseconds
	 * @return true if it does
	 */
	public boolean contains(String start, long now) {
		Long time = this.replacedAt.get(start);
		return time != null && now - time < RETENTION_MILLIS;
	}

	/**
	 * Removes the starts that no longer count as replaced.
	 * @param now time in milliseconds
	 * @return true if there was one
	 */
	public boolean removeExpired(long now) {
		return this.replacedAt.values().removeIf((time) -> now - time >= RETENTION_MILLIS);
	}

}
