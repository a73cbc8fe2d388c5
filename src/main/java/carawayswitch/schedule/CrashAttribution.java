package carawayswitch.schedule;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Attributes crashes of endpoints to requests, or to segments of their prompts; an
 * endpoint is called engine here. The identity of a request counts as one of its
 * segments. A segment that crashes every engine which begins to answer it is found by
 * elimination: suspects are the attempts whose answer had not begun when their engine
 * closed the connection, and each answer that begins clears its segments. A segment is
 * blamed after several independent crashes without an answer in between. If several
 * segments always occur together, only their combination is blamed, until answers tell
 * them apart. Invariants:
 * <ul>
 * <li>Crashes at the same time are one piece of evidence, and so are several losses at
 * one start of an engine.</li>
 * <li>The more attempts are lost elsewhere, the more crashes are needed. Without attempts
 * that lack a segment the segment is not blamed, since the crashes may not depend on the
 * prompt.</li>
 * </ul>
 * Times are milliseconds. Not safe for use by several threads.
 *
 * <pre>
 * attribution.onDispatched("r1#0", "chat", "engine-3@1700000000000", List.of("5c1e07a2"), now);
 * attribution.onEnded("r1#0", AttemptResult.LOST, true, 0, now + 120);
 * attribution.judge(now + 200);
 * </pre>
 */
public final class CrashAttribution {

	/**
	 * Time in milliseconds for which a stream must go on to prove that its prompt is
	 * harmless. An engine may send an event before it crashes.
	 */
	static final long PROOF_MILLIS = 200;

	/**
	 * Time in milliseconds after a loss before it is judged. Several hosts report the
	 * attempts that one crash has ended, in any order.
	 */
	static final long SETTLE_MILLIS = 50;

	/**
	 * Time in milliseconds after a loss during which further attempts at the engine are
	 * expected to be lost too, because it is still down, until it answers one.
	 */
	static final long DOWN_MILLIS = 1000;

	/** Time in milliseconds after which a crash is no longer evidence. */
	static final long RETENTION_MILLIS = 60_000;

	/** Most suspects that are kept; the oldest are evicted. */
	static final int MAX_SUSPECTS = 500;

	/** Most losses that are kept to estimate how often others occur. */
	private static final int MAX_LOSSES = 2000;

	/** Most prompts that are kept to estimate the share of a segment. */
	private static final int MAX_PROMPTS = 500;

	/** Most engines and starts of engines that are remembered. */
	private static final int MAX_ENGINES = 1000;

	private final PromptQuarantine quarantine;

	/** Attempts that have not ended, by request id. */
	private final Map<String, OpenAttempt> open = new HashMap<>();

	/** Suspects in the order in which their connections were lost. */
	private final List<Suspect> suspects = new ArrayList<>();

	/**
	 * Times of the latest counted losses of engines that have not answered since, by
	 * engine. An engine may restart and crash again before its new start is known.
	 */
	private final Map<String, Long> lostAt = new BoundedMap<>();

	/**
	 * Times at which the crashes of engines were explained by a rule, by engine start.
	 */
	private final Map<String, Long> explainedAt = new BoundedMap<>();

	/** Time of the latest loss that has been judged. */
	private long judgedUntil = Long.MIN_VALUE;

	/** Suspects that were added since the last {@link #takeNewSuspects}. */
	private List<Suspect> newSuspects = new ArrayList<>();

	/** Answers that have cleared a suspect since the last {@link #takeNewAnswers}. */
	private List<Answer> newAnswers = new ArrayList<>();

	/** Recent losses before an answer had begun, cleared suspects included. */
	private final Deque<Loss> losses = new ArrayDeque<>();

	private long dispatchCount;

	/** Segments of the attempts that were dispatched last. */
	private final Deque<Set<String>> recentPrompts = new ArrayDeque<>();

	/**
	 * Creates an attribution without evidence.
	 * @param quarantine receives the rules that follow from the evidence
	 */
	public CrashAttribution(PromptQuarantine quarantine) {
		this.quarantine = quarantine;
	}

	/**
	 * Records that an attempt was dispatched.
	 * @param id id of the request
	 * @param service service of the pool
	 * @param engine id of the engine and of its start
	 * @param segments segments of the prompt that other requests may share
	 * @param now time in milliseconds
	 */
	public void onDispatched(String id, String service, String engine, Collection<String> segments, long now) {
		OpenAttempt attempt = new OpenAttempt(service, engine, Set.copyOf(segments), now);
		this.open.put(id, attempt);
		this.dispatchCount++;
		this.recentPrompts.add(attempt.segments);
		if (this.recentPrompts.size() > MAX_PROMPTS) {
			this.recentPrompts.remove();
		}
	}

	/**
	 * Counts attempts of other hosts, which are not recorded one by one.
	 * @param count number of attempts
	 */
	public void countAttempts(long count) {
		this.dispatchCount += count;
	}

	/**
	 * Records an attempt that another host has dispatched at an unknown time.
	 * @param id id of the request
	 * @param service service of the pool
	 * @param engine id of the engine and of its start
	 * @param segments segments of the prompt that other requests may share
	 */
	public void adopt(String id, String service, String engine, Collection<String> segments) {
		this.open.putIfAbsent(id, new OpenAttempt(service, engine, Set.copyOf(segments), Long.MIN_VALUE));
	}

	/**
	 * Records the first event of an answer.
	 * @param id id of the request
	 * @param now time in milliseconds
	 */
	public void onFirstEvent(String id, long now) {
		OpenAttempt attempt = this.open.get(id);
		if (attempt != null && attempt.firstEventAt < 0) {
			attempt.firstEventAt = now;
			onUp(attempt);
		}
	}

	/**
	 * Forgets an attempt that was withdrawn, or whose end will not be reported.
	 * @param id id of the request
	 */
	public void withdraw(String id) {
		this.open.remove(id);
	}

	/**
	 * Records the end of an attempt.
	 * @param id id of the request
	 * @param result result of the attempt
	 * @param disconnected true if the engine closed the connection before the answer was
	 * complete
	 * @param streamMillis time from the first event to the end, or 0 if there was none
	 * @param now time in milliseconds
	 */
	public void onEnded(String id, AttemptResult result, boolean disconnected, long streamMillis, long now) {
		OpenAttempt attempt = this.open.remove(id);
		if (attempt == null) {
			return;
		}
		if (result == AttemptResult.ANSWERED || streamMillis >= PROOF_MILLIS) {
			onUp(attempt);
			onProved(attempt, now - streamMillis, now);
		}
		else if (result == AttemptResult.LOST && disconnected && !attempt.segments.isEmpty() && !sentToDown(attempt)) {
			this.lostAt.put(engineId(attempt.engine), now);
			onSuspected(new Suspect(attempt.service, attempt.engine, new HashSet<>(attempt.segments),
					attempt.dispatchedAt, now), now);
		}
	}

	private boolean sentToDown(OpenAttempt attempt) {
		Long engineLostAt = this.lostAt.get(engineId(attempt.engine));
		return engineLostAt != null && attempt.dispatchedAt >= engineLostAt
				&& attempt.dispatchedAt - engineLostAt < DOWN_MILLIS;
	}

	private void onUp(OpenAttempt attempt) {
		this.lostAt.computeIfPresent(engineId(attempt.engine),
				(engine, engineLostAt) -> (attempt.dispatchedAt >= engineLostAt) ? null : engineLostAt);
	}

	private static String engineId(String engineStart) {
		int separator = engineStart.lastIndexOf('@');
		return (separator < 0) ? engineStart : engineStart.substring(0, separator);
	}

	// A segment that was answered from a time on has not crashed the engines to which it
	// was dispatched before that time.
	private void onProved(OpenAttempt attempt, long beganAt, long now) {
		attempt.proved = true;
		this.quarantine.onAnswered(attempt.segments, attempt.dispatchedAt, now);
		clear(new Answer(attempt.segments, beganAt));
	}

	/**
	 * Clears the segments of an answer, which another host may have received.
	 * @param answer the answer
	 */
	public void clear(Answer answer) {
		boolean changed = false;
		for (Suspect suspect : this.suspects) {
			changed |= suspect.dispatchedAt <= answer.beganAt && suspect.segments.removeAll(answer.segments);
		}
		if (changed) {
			this.suspects.removeIf((suspect) -> suspect.segments.isEmpty());
			this.newAnswers.add(answer);
		}
	}

	private void onSuspected(Suspect suspect, long now) {
		this.losses.add(new Loss(suspect.engine, this.dispatchCount));
		if (this.losses.size() > MAX_LOSSES) {
			this.losses.remove();
		}
		if (this.quarantine.knows(suspect.segments)) {
			this.quarantine.renewExpired(suspect.segments, now);
			markExplained(suspect.engine, now);
		}
		else if (!this.explainedAt.containsKey(suspect.engine)) {
			this.suspects.removeIf((old) -> now - old.lostAt > RETENTION_MILLIS);
			add(suspect);
		}
	}

	private void add(Suspect suspect) {
		if (this.suspects.size() == MAX_SUSPECTS) {
			this.suspects.remove(0);
		}
		this.suspects.add(suspect);
		this.newSuspects.add(suspect);
	}

	private void markExplained(String engine, long now) {
		this.explainedAt.put(engine, now);
		this.suspects.removeIf((suspect) -> suspect.engine.equals(engine));
	}

	/**
	 * Makes the rules that follow from the evidence, except from crashes whose reports
	 * may still be incomplete. To be called before a request is dispatched.
	 * @param now time in milliseconds
	 */
	public void judge(long now) {
		long settledUntil = now - SETTLE_MILLIS;
		boolean newEvidence = this.suspects.stream()
			.anyMatch((suspect) -> suspect.lostAt > this.judgedUntil && suspect.lostAt <= settledUntil);
		if (newEvidence) {
			this.judgedUntil = settledUntil;
			proveOpenStreams(now);
			blame(settledUntil, now);
		}
	}

	private void proveOpenStreams(long now) {
		for (OpenAttempt attempt : this.open.values()) {
			if (!attempt.proved && attempt.firstEventAt >= 0 && now - attempt.firstEventAt >= PROOF_MILLIS) {
				onProved(attempt, attempt.firstEventAt, now);
			}
		}
	}

	private void blame(long settledUntil, long now) {
		for (CrashCause cause = mostLikelyCause(settledUntil); cause != null; cause = mostLikelyCause(settledUntil)) {
			this.quarantine.make(QuarantineRule.of(cause.segments(), now), "crashes_" + cause.engines().size(), now);
			cause.engines().forEach((engine) -> markExplained(engine, now));
		}
	}

	// Returns the cause that leaves the fewest losses unexplained. Of several such causes
	// it is the one with the most segments, which matches the fewest requests. Returns
	// null if there is no sufficient cause, or if two are equally likely.
	private CrashCause mostLikelyCause(long settledUntil) {
		Map<String, List<Suspect>> suspectsBySegment = new TreeMap<>();
		this.suspects.stream()
			.filter((suspect) -> suspect.lostAt <= settledUntil)
			.forEach((suspect) -> suspect.segments.forEach(
					(segment) -> suspectsBySegment.computeIfAbsent(segment, (name) -> new ArrayList<>()).add(suspect)));
		List<CrashCause> causes = suspectsBySegment.values()
			.stream()
			.filter((evidence) -> independentCrashes(evidence) >= CrashCause.MIN_CRASHES)
			.map(this::cause)
			.filter(CrashCause::sufficient)
			.distinct()
			.sorted(CrashCause.MOST_LIKELY_FIRST)
			.toList();
		boolean ambiguous = causes.size() > 1
				&& CrashCause.MOST_LIKELY_FIRST.compare(causes.get(0), causes.get(1)) == 0;
		return (causes.isEmpty() || ambiguous) ? null : causes.get(0);
	}

	// The losses that a cause does not explain are those at engines at which no attempt
	// with its segments was lost.
	private CrashCause cause(List<Suspect> evidence) {
		Set<String> segments = new TreeSet<>(evidence.get(0).segments);
		evidence.forEach((suspect) -> segments.retainAll(suspect.segments));
		Set<String> engines = new TreeSet<>();
		evidence.forEach((suspect) -> engines.add(suspect.engine));
		long since = this.losses.stream()
			.filter((loss) -> engines.contains(loss.engine))
			.mapToLong(Loss::dispatchCount)
			.min()
			.orElse(this.dispatchCount);
		long unexplained = this.losses.stream()
			.filter((loss) -> loss.dispatchCount >= since && !engines.contains(loss.engine))
			.count();
		long others = this.recentPrompts.stream().filter((prompt) -> !prompt.containsAll(segments)).count();
		double otherShare = (double) others / Math.max(1, this.recentPrompts.size());
		return new CrashCause(segments, engines, independentCrashes(evidence), unexplained,
				(this.dispatchCount - since) * otherShare);
	}

	private static int independentCrashes(List<Suspect> evidence) {
		Set<String> engines = new HashSet<>();
		long lastLostAt = Long.MIN_VALUE;
		for (Suspect suspect : evidence) {
			if (engines.isEmpty() || suspect.dispatchedAt >= lastLostAt && !engines.contains(suspect.engine)) {
				engines.add(suspect.engine);
				lastLostAt = suspect.lostAt;
			}
		}
		return engines.size();
	}

	/**
	 * Returns the evidence that has led to no rule yet.
	 * @return the suspects in the order in which their connections were lost
	 */
	public List<Suspect> suspects() {
		return List.copyOf(this.suspects);
	}

	/**
	 * Returns the suspects that were added since the last call.
	 * @return the suspects
	 */
	public List<Suspect> takeNewSuspects() {
		List<Suspect> taken = this.newSuspects;
		this.newSuspects = new ArrayList<>();
		return taken;
	}

	/**
	 * Returns the answers that have cleared a suspect since the last call.
	 * @return the answers
	 */
	public List<Answer> takeNewAnswers() {
		List<Answer> taken = this.newAnswers;
		this.newAnswers = new ArrayList<>();
		return taken;
	}

	/** Makes the next {@link #judge} regard all evidence, merged evidence included. */
	public void judgeAnew() {
		this.judgedUntil = Long.MIN_VALUE;
	}

	/**
	 * Returns whether there is evidence that is too recent to be judged.
	 * @param now time in milliseconds
	 * @return true if so
	 */
	public boolean unsettled(long now) {
		return this.suspects.stream().anyMatch((suspect) -> suspect.lostAt > now - SETTLE_MILLIS);
	}

	/**
	 * Adds evidence of another host. It is judged together with the next crash that this
	 * host learns of, since answers may have cleared it meanwhile.
	 * @param others suspects of the other host
	 */
	public void merge(Collection<Suspect> others) {
		for (Suspect other : others) {
			boolean known = this.suspects.stream()
				.anyMatch((suspect) -> suspect.engine.equals(other.engine) && suspect.segments.equals(other.segments));
			if (!known && !this.explainedAt.containsKey(other.engine) && !this.quarantine.knows(other.segments)) {
				add(other);
				this.losses.add(new Loss(other.engine, this.dispatchCount));
			}
		}
		this.suspects.sort(Comparator.comparingLong((suspect) -> suspect.lostAt));
	}

	/** Discards all suspects and attempts. */
	public void reset() {
		this.suspects.clear();
		this.open.clear();
	}

	/**
	 * Attempt whose engine closed the connection before the answer had begun. The set of
	 * segments shrinks as answers clear them. Confined to its attribution.
	 *
	 * @param service service of the pool
	 * @param engine id of the engine and of its start
	 * @param segments segments that no answer has cleared
	 * @param dispatchedAt time of the dispatch in milliseconds
	 * @param lostAt time of the loss in milliseconds
	 */
	public record Suspect(String service, String engine, Set<String> segments, long dispatchedAt, long lostAt) {

	}

	/**
	 * An answer, which proves its segments harmless to the engines to which they were
	 * dispatched before it began. Immutable.
	 *
	 * @param segments segments of the prompt
	 * @param beganAt time in milliseconds
	 */
	public record Answer(Set<String> segments, long beganAt) {

	}

	/**
	 * A lost attempt. Immutable.
	 *
	 * @param engine id of the engine and of its start
	 * @param dispatchCount number of attempts that had been dispatched by then
	 */
	private record Loss(String engine, long dispatchCount) {

	}

	/**
	 * Map that evicts its oldest entry. Confined to its attribution.
	 *
	 * @param <K> type of the keys
	 * @param <V> type of the values
	 */
	private static final class BoundedMap<K, V> extends LinkedHashMap<K, V> {

		@Override
		protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
			return size() > MAX_ENGINES;
		}

	}

	/**
	 * An attempt that has not ended. Confined to its attribution.
	 */
	private static final class OpenAttempt {

		final String service;

		final String engine;

		final Set<String> segments;

		final long dispatchedAt;

		long firstEventAt = -1;

		boolean proved;

		OpenAttempt(String service, String engine, Set<String> segments, long dispatchedAt) {
			this.service = service;
			this.engine = engine;
			this.segments = segments;
			this.dispatchedAt = dispatchedAt;
		}

	}

}
