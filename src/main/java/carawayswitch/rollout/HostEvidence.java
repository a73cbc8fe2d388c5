package carawayswitch.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import carawayswitch.message.VersionCounts;
import carawayswitch.message.VersionEvidence;

/**
 * What one host has seen of the versions of one service. Attempts in progress are known
 * also if they began before the rollout; all counts begin with it and are totals, so that
 * a lost or repeated report does no harm. Times are monotonic milliseconds. Not
 * thread-safe.
 */
public final class HostEvidence {

	/**
	 * Prompt length in tokens at which the time to the first event counts as it is. The
	 * time of longer prompts is scaled down, so that the length does not hide a slow
	 * version.
	 */
	private static final double REFERENCE_TOKENS = 1000;

	/** Age in milliseconds from which an attempt without an answer counts as slow. */
	private static final long OPEN_MILLIS = 250;

	private final String service;

	private final Set<Attempt> open = new HashSet<>();

	/** Numbers of unfinished streams that go on only at one version, by version. */
	private final Map<String, Integer> boundStreams = new HashMap<>();

	private final Map<Key, RouteTally> tallies = new HashMap<>();

	private long rollout;

	private String target = "";

	private long requests;

	/**
	 * Creates the evidence of a service.
	 * @param service name of the service
	 */
	public HostEvidence(String service) {
		this.service = service;
	}

	/**
	 * Begins to count for a rollout, unless it is the one that is counted. All counts
	 * begin anew, also if the rollout was counted earlier.
	 * @param newRollout id of the rollout
	 * @param newTarget its target
	 */
	public void begin(long newRollout, String newTarget) {
		if (newRollout != this.rollout) {
			this.rollout = newRollout;
			this.target = newTarget;
			this.requests = 0;
			this.tallies.clear();
		}
	}

	/** Counts a request for the service. */
	public void onRequest() {
		this.requests++;
	}

	/**
	 * Records that a stream goes on only at one version from now on. It counts as running
	 * there until its end, also while no attempt of it is in progress: it may wait for a
	 * place at an engine of that version.
	 * @param version the version
	 */
	public void onStreamBound(String version) {
		this.boundStreams.merge(version, 1, Integer::sum);
	}

	/**
	 * Records the end of a stream that was bound to a version.
	 * @param version the version
	 */
	public void onBoundStreamEnded(String version) {
		this.boundStreams.computeIfPresent(version, (key, streams) -> (streams > 1) ? streams - 1 : null);
	}

	/**
	 * Counts an attempt.
	 * @param version version of the endpoint
	 * @param endpoint id of the endpoint if it is reported by itself, or empty
	 * @param route name of the route
	 * @param promptTokens length of the prompt, or 0
	 * @param now current time
	 * @return the attempt, to be ended once
	 */
	public Attempt onSent(String version, String endpoint, String route, int promptTokens, long now) {
		Attempt attempt = new Attempt(new Key(version, route, endpoint), promptTokens, now);
		this.open.add(attempt);
		tally(attempt.key).onSent();
		return attempt;
	}

	private RouteTally tally(Key key) {
		return this.tallies.computeIfAbsent(key, (absent) -> new RouteTally());
	}

	/**
	 * Creates the report to the owner of the pools.
	 * @param process incarnation number of this host
	 * @param revision revision of the rollout that this host applies
	 * @param state label of its state at that revision
	 * @param now current time
	 * @return the report
	 */
	public VersionEvidence report(long process, long revision, String state, long now) {
		Map<Key, RouteTally> reported = new HashMap<>();
		this.tallies.forEach((key, tally) -> reported.put(key, new RouteTally().add(tally)));
		int elsewhere = this.boundStreams.entrySet()
			.stream()
			.filter((streams) -> !streams.getKey().equals(this.target))
			.mapToInt(Map.Entry::getValue)
			.sum();
		for (Attempt attempt : this.open) {
			elsewhere += attempt.key.version.equals(this.target) ? 0 : 1;
			long age = now - attempt.sentAt;
			if (attempt.counted() && !attempt.answered && age >= OPEN_MILLIS) {
				reported.computeIfAbsent(attempt.key, (key) -> new RouteTally()).answerTimes().add(attempt.scaled(age));
			}
		}
		List<VersionCounts> counts = new ArrayList<>();
		reported.forEach((key, tally) -> counts.add(tally.toMessage(key.version, key.route, key.endpoint)));
		return new VersionEvidence(this.service, this.rollout, process, revision, elsewhere, this.requests, counts,
				state);
	}

	/**
	 * What is counted together. Immutable.
	 *
	 * @param version version of the endpoint
	 * @param route name of the route
	 * @param endpoint id of the endpoint, or empty
	 */
	private record Key(String version, String route, String endpoint) {

	}

	/**
	 * Meaning of the end of an attempt. Immutable.
	 */
	public enum End {

		/** The answer was complete. */
		GOOD,

		/** The endpoint failed. */
		BAD,

		/** The end is no evidence on the version. */
		UNKNOWN

	}

	/**
	 * One attempt. Confined to its evidence.
	 */
	public final class Attempt {

		private final Key key;

		private final int promptTokens;

		private final long sentAt;

		private final long sentIn;

		private boolean answered;

		private Attempt(Key key, int promptTokens, long sentAt) {
			this.key = key;
			this.promptTokens = promptTokens;
			this.sentAt = sentAt;
			this.sentIn = HostEvidence.this.rollout;
		}

		private boolean counted() {
			return this.sentIn == HostEvidence.this.rollout;
		}

		private double scaled(long millis) {
			return millis * REFERENCE_TOKENS / (REFERENCE_TOKENS + this.promptTokens);
		}

		/**
		 * Records the first event of a stream.
		 * @param millis time since the attempt was sent
		 */
		public void onFirstEvent(long millis) {
			if (!this.answered && counted()) {
				tally(this.key).answerTimes().add(scaled(millis));
			}
			this.answered = true;
		}

		/**
		 * Records the end. An attempt that was abandoned before its answer counts with
		 * the time that it had taken.
		 * @param end what the end means
		 * @param longestPauseMillis longest pause of the stream
		 * @param now current time
		 */
		public void onEnded(End end, long longestPauseMillis, long now) {
			if (!HostEvidence.this.open.remove(this) || !counted()) {
				return;
			}
			RouteTally tally = tally(this.key);
			if (this.answered) {
				tally.pauses().add(longestPauseMillis);
			}
			if (end != End.BAD && !this.answered && (end == End.GOOD || now - this.sentAt >= OPEN_MILLIS)) {
				tally.answerTimes().add(scaled(now - this.sentAt));
			}
			if (end != End.UNKNOWN) {
				tally.onEnded(end == End.BAD);
			}
		}

	}

}
