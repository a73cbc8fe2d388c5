package carawayswitch.schedule;

import java.util.HashMap;
import java.util.Map;

/**
 * Load, health and speed of one engine. Confined to its scheduler.
 */
final class EngineState {

	/** Assumed network round trip to an engine in milliseconds. */
	static final double ROUND_TRIP_MILLIS = 10;

	/**
	 * Factor on the expected length of an answer that an engine must be able to finish
	 * before the client's deadline, since the expected length is often too low.
	 */
	static final double LENGTH_MARGIN = 1.5;

	/**
	 * Share of an engine's streams with a pause beyond the limit of their route from
	 * which the engine gets long prompts of work that is on time only while it is idle.
	 */
	static final double MAX_BROKEN_GAP_RATE = 0.02;

	/** Assumed mean time of an attempt in milliseconds before the first has ended. */
	private static final double INITIAL_ATTEMPT_MILLIS = 1000;

	/** Weight of the newest attempt in the mean time of an attempt. */
	private static final double ATTEMPT_SMOOTHING_FACTOR = 0.1;

	/** Largest share of an engine's KV cache that is reserved for dispatched work. */
	private static final double MAX_KV_SHARE = 0.95;

	PoolEngine engine;

	boolean accepting = true;

	final Map<String, PlacedAttempt> running = new HashMap<>();

	final EndpointHealth health = new EndpointHealth();

	final EngineSpeedEstimator speed = new EngineSpeedEstimator();

	final EndpointRateLimit rateLimit = new EndpointRateLimit();

	private double meanAttemptMillis = INITIAL_ATTEMPT_MILLIS;

	boolean usable(long now) {
		return this.accepting && (this.health.available(now) || this.health.probeAllowed(now));
	}

	boolean eligible(PoolRequest request) {
		return request.versions().contains(this.engine.version());
	}

	boolean accepts(Work work, long now) {
		return usable(now) && this.running.size() < this.engine.slots() && fitsKvCache(work)
				&& this.rateLimit.waitMillis(now) == 0;
	}

	int freeSlots(long now) {
		return this.rateLimit.usableSlots(Math.max(0, this.engine.slots() - this.running.size()), now);
	}

	// Number of slots that are in use if enough work is offered.
	double sustainedSlots() {
		return this.rateLimit.sustainedSlots(this.engine.slots(), this.meanAttemptMillis);
	}

	void onAttemptEnded(PlacedAttempt attempt, long now) {
		this.meanAttemptMillis += ATTEMPT_SMOOTHING_FACTOR * (now - attempt.dispatchedAt - this.meanAttemptMillis);
	}

	// An answer that has begun without naming a limit ends the limit. What an adopted
	// attempt has named is unknown.
	void onAnswerBegun(PlacedAttempt attempt) {
		if (!attempt.namedLimit && !attempt.adopted) {
			this.rateLimit.onUnlimitedAnswer(attempt.dispatchedAt);
		}
	}

	// Whether an answer that is longer than expected still ends before the client's
	// deadline.
	boolean finishes(PoolRequest request, long now) {
		double millis = this.speed.firstEventMillis(promptBacklogTokens() + request.work().promptTokens())
				+ this.speed.streamMillis((long) (request.work().expectedTokens() * LENGTH_MARGIN), this.engine.slots(),
						this.engine.slots());
		return now + millis + ROUND_TRIP_MILLIS <= request.clientDeadlineAt();
	}

	// Whether streams at the engine, this one and others, keep the pauses that their
	// routes allow. Slow engines hold up streams while they prefill long prompts.
	boolean smooth(PoolRequest request) {
		return request.maxGapMillis() == 0 || this.running.isEmpty()
				|| this.speed.brokenGapRate() <= MAX_BROKEN_GAP_RATE
				|| this.speed.firstEventMillis(request.work().promptTokens()) <= request.maxGapMillis();
	}

	// An idle engine takes any work, since work larger than the limit could never run
	// otherwise.
	private boolean fitsKvCache(Work work) {
		if (this.engine.kvTokens() == 0 || this.running.isEmpty()) {
			return true;
		}
		long reservedTokens = work.kvTokens();
		for (PlacedAttempt attempt : this.running.values()) {
			reservedTokens += attempt.request.work().kvTokens();
		}
		return reservedTokens <= this.engine.kvTokens() * MAX_KV_SHARE;
	}

	boolean allStreamsStalled() {
		return this.running.values().stream().allMatch((attempt) -> attempt.stalled || !attempt.answering);
	}

	// Prompt tokens of attempts whose answer has not begun.
	int promptBacklogTokens() {
		int tokens = 0;
		for (PlacedAttempt attempt : this.running.values()) {
			tokens += attempt.answering ? 0 : attempt.request.work().promptTokens();
		}
		return tokens;
	}

	// Expected time to complete the work, increased for an engine with recent
	// failures.
	double costMillis(Work work) {
		double firstEventMillis = this.speed.firstEventMillis(promptBacklogTokens() + work.promptTokens());
		double streamMillis = this.speed.streamMillis(work.expectedTokens(), this.running.size() + 1,
				this.engine.slots());
		return (firstEventMillis + streamMillis + ROUND_TRIP_MILLIS) * this.health.costFactor();
	}

}
