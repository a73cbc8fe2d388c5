package carawayswitch.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Endpoints to which this host sends nothing because they have asked for it in their
 * answers: for good, since they are leaving, or for a time. Invariants: no answer makes
 * an earlier backoff shorter; a backoff ends when the endpoint is known to have restarted
 * under its id after its answer. Times are monotonic milliseconds, but for starts of
 * endpoints and times of answers, which are milliseconds since the epoch. Not safe for
 * use by several threads.
 *
 * <pre>
 * backoffs.leaving("e1", startedAt);
 * long wait = backoffs.waitMillis("e1", startedAt, now);
 * </pre>
 */
public final class EndpointBackoffs {

	/** Wait in milliseconds of an endpoint that is leaving. */
	public static final long FOR_GOOD = Long.MAX_VALUE;

	/** Longest time in milliseconds for which an endpoint may ask. */
	static final long MAX_RETRY_AFTER_MILLIS = 600_000;

	/**
	 * Time in milliseconds for which a backoff is kept after its endpoint was last
	 * registered, since entries are missing for a while after an outage of the store.
	 */
	static final long UNREGISTERED_MILLIS = 60_000;

	private final Map<String, Entry> byEndpoint = new HashMap<>();

	/**
	 * Records an answer in which an endpoint says that it is leaving.
	 * @param endpoint id of the endpoint
	 * @param startedAt time of its start in milliseconds since the epoch, or 0 if unknown
	 * @param now time in milliseconds
	 * @return true if it was not known to be leaving
	 */
	public boolean onLeaving(String endpoint, long startedAt, long now) {
		return extend(endpoint, startedAt, startedAt, FOR_GOOD, now);
	}

	/**
	 * Records an answer in which an endpoint asks for no request for some time. A start
	 * that is learned later but happened before the answer does not end the backoff: the
	 * known entry of an endpoint may be older than the process that answers.
	 * @param endpoint id of the endpoint
	 * @param startedAt time of its start in milliseconds since the epoch, or 0 if unknown
	 * @param millis the time in milliseconds, which is bounded
	 * @param answeredAt time of the answer in milliseconds since the epoch
	 * @param now time in milliseconds
	 * @return true if the endpoint asks for longer than before
	 */
	public boolean onRetryAfter(String endpoint, long startedAt, long millis, long answeredAt, long now) {
		return extend(endpoint, startedAt, Math.max(startedAt, answeredAt),
				now + Math.min(millis, MAX_RETRY_AFTER_MILLIS), now);
	}

	/**
	 * Records that another endpoint has answered at the address of an endpoint, which may
	 * have started before at an address that is not known yet.
	 * @param endpoint id of the endpoint
	 * @param startedAt time of its start in milliseconds since the epoch, or 0 if unknown
	 * @param millis time in milliseconds for which nothing is sent there
	 * @param now time in milliseconds
	 * @return true if this was not known
	 */
	public boolean onReplaced(String endpoint, long startedAt, long millis, long now) {
		return extend(endpoint, startedAt, startedAt, now + millis, now);
	}

	private boolean extend(String endpoint, long startedAt, long coveredUntil, long until, long now) {
		Backoff added = new Backoff(coveredUntil, until);
		long before = latestEnd(endpoint, startedAt);
		Entry entry = this.byEndpoint.getOrDefault(endpoint, Entry.NONE);
		List<Backoff> backoffs = entry.backoffs()
			.stream()
			.filter((backoff) -> backoff.until() > now && !backoff.endedByStart(startedAt) && !added.includes(backoff))
			.collect(Collectors.toCollection(ArrayList::new));
		if (backoffs.stream().noneMatch((backoff) -> backoff.includes(added))) {
			backoffs.add(added);
		}
		this.byEndpoint.put(endpoint, new Entry(List.copyOf(backoffs), now));
		return until > before;
	}

	// Returns the latest end of the backoffs that a start does not end.
	private long latestEnd(String endpoint, long startedAt) {
		long latest = Long.MIN_VALUE;
		for (Backoff backoff : this.byEndpoint.getOrDefault(endpoint, Entry.NONE).backoffs()) {
			latest = backoff.endedByStart(startedAt) ? latest : Math.max(latest, backoff.until());
		}
		return latest;
	}

	/**
	 * Returns the time for which no request may be sent to an endpoint.
	 * @param endpoint id of the endpoint
	 * @param startedAt time of its latest known start in milliseconds since the epoch, or
	 * 0 if unknown
	 * @param now time in milliseconds
	 * @return time in milliseconds, 0 if requests may be sent, or {@link #FOR_GOOD}
	 */
	public long waitMillis(String endpoint, long startedAt, long now) {
		long until = latestEnd(endpoint, startedAt);
		if (until == Long.MIN_VALUE) {
			return 0;
		}
		return (until == FOR_GOOD) ? FOR_GOOD : Math.max(0, until - now);
	}

	/**
	 * Forgets endpoints that have not been registered for some time.
	 * @param registered ids of the registered endpoints
	 * @param now time in milliseconds
	 */
	public void retain(Set<String> registered, long now) {
		this.byEndpoint
			.replaceAll((endpoint, entry) -> registered.contains(endpoint) ? new Entry(entry.backoffs(), now) : entry);
		this.byEndpoint.values().removeIf((entry) -> now - entry.registeredAt() > UNREGISTERED_MILLIS);
	}

	/**
	 * Backoffs of one endpoint, none of which includes another. An earlier process of the
	 * endpoint and the one that answers at its address now may both have caused one.
	 * Immutable.
	 *
	 * @param backoffs the backoffs
	 * @param registeredAt time at which the endpoint was last known to be registered
	 */
	private record Entry(List<Backoff> backoffs, long registeredAt) {

		static final Entry NONE = new Entry(List.of(), 0);

	}

	/**
	 * Time for which an endpoint is sent nothing. Immutable.
	 *
	 * @param coveredUntil latest start, in milliseconds since the epoch, that does not
	 * end it
	 * @param until time at which it ends
	 */
	private record Backoff(long coveredUntil, long until) {

		boolean endedByStart(long latestStart) {
			return latestStart > this.coveredUntil;
		}

		boolean includes(Backoff other) {
			return this.coveredUntil >= other.coveredUntil && this.until >= other.until;
		}

	}

}
