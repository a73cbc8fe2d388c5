package carawayswitch.rollout;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

import carawayswitch.message.VersionCounts;
import carawayswitch.message.VersionEvidence;

/**
 * Evidence of all hosts on one rollout, as the owner of the pools has received it.
 * Invariants: only the latest report of a process counts, and reports of processes that
 * have ended go on to count. Times are monotonic milliseconds. Not thread-safe.
 */
final class EvidenceBook {

	/** Time between two snapshots that bound the windows. */
	private static final long SLICE_MILLIS = 500;

	/** Number of snapshots: the longest window has 12 s. */
	private static final int MAX_SLICES = 24;

	/** Lengths in slices of the windows in which faults are looked for. */
	private static final int[] WINDOWS = { 6, MAX_SLICES };

	/**
	 * Number of slices without whose bad answers the target must still be suspect. An
	 * endpoint that crashes for another reason loses all its answers at once.
	 */
	private static final int BURST_SLICES = 2;

	/**
	 * The same for late answers while no other version is seen in the same period:
	 * engines may be slow for some seconds for other reasons.
	 */
	private static final int BURST_SLICES_ALONE = 8;

	private static final double MARGIN_ALONE = 2;

	private static final int MIN_SAME_PERIOD = 20;

	private final Map<String, Report> reports = new HashMap<>();

	private final Deque<EvidenceSnapshot> slices = new ArrayDeque<>();

	/** Largest numbers of failures of the target in one slice, by route. */
	private final Map<String, long[]> bursts = new HashMap<>();

	private long lastSliceAt = Long.MIN_VALUE / 4;

	/**
	 * Returns the name under which a process of a host is known.
	 * @param host id of the host
	 * @param incarnation incarnation number of the process
	 * @return the name
	 */
	static String processName(String host, long incarnation) {
		return host + '/' + incarnation;
	}

	/**
	 * Replaces the report of a process.
	 * @param host id of the host
	 * @param evidence its report
	 * @param now current time
	 */
	void put(String host, VersionEvidence evidence, long now) {
		String process = processName(host, evidence.process());
		Report report = this.reports.get(process);
		if (report == null || evidence.requests() >= report.evidence.requests()) {
			this.reports.put(process, new Report(host, evidence, now));
		}
	}

	/**
	 * Returns the latest change that a host knows.
	 * @return the change; revision 0 if no host has reported
	 */
	Known latest() {
		return this.reports.values()
			.stream()
			.map((report) -> new Known(report.evidence.revision(),
					RolloutState.of(report.evidence.state()).orElse(RolloutState.ROLLED_BACK)))
			.max(Comparator.comparingLong(Known::revision).thenComparing(Known::state))
			.orElse(new Known(0, RolloutState.RUNNING));
	}

	/**
	 * Returns what each process has received.
	 * @param target the target
	 * @return requests by process
	 */
	Map<String, RolloutProgress.Exposure> exposures(String target) {
		Map<String, RolloutProgress.Exposure> exposures = new HashMap<>();
		this.reports.forEach((process, report) -> exposures.put(process, new RolloutProgress.Exposure(
				counts(report, target).mapToLong(VersionCounts::sent).sum(), report.evidence.requests())));
		return exposures;
	}

	long ended(String target) {
		return this.reports.values()
			.stream()
			.flatMap((report) -> counts(report, target))
			.mapToLong(VersionCounts::ended)
			.sum();
	}

	private static Stream<VersionCounts> counts(Report report, String target) {
		return report.evidence.counts().stream().filter((counts) -> counts.version().equals(target));
	}

	/**
	 * Returns whether a process has reported after a time.
	 * @param process name of the process
	 * @param since the time
	 * @return true if it has
	 */
	boolean reportedSince(String process, long since) {
		Report report = this.reports.get(process);
		return report != null && report.at > since;
	}

	/**
	 * Returns whether each host has reported lately.
	 * @param hosts ids of the hosts
	 * @param maxAgeMillis largest age of a report
	 * @param now current time
	 * @return true if all have
	 */
	boolean heardOf(Collection<String> hosts, long maxAgeMillis, long now) {
		return hosts.stream()
			.allMatch((host) -> this.reports.values()
				.stream()
				.anyMatch((report) -> report.host.equals(host) && now - report.at <= maxAgeMillis));
	}

	/**
	 * Returns whether no host sends requests to other versions than the target, and none
	 * runs there.
	 * @param live ids of the live hosts
	 * @param revision revision of the progress from which hosts send none
	 * @param silentMillis time without a report after which a host that is not live has
	 * ended, and with it all that it ran
	 * @param now current time
	 * @return true if nothing runs elsewhere
	 */
	boolean idleElsewhere(Set<String> live, long revision, long silentMillis, long now) {
		boolean idle = heardOf(live, SLICE_MILLIS * 2, now);
		for (Report report : this.reports.values()) {
			boolean ended = now - report.at > (live.contains(report.host) ? SLICE_MILLIS * 2 : silentMillis);
			idle &= ended || report.evidence.revision() >= revision && report.evidence.openElsewhere() == 0;
		}
		return idle;
	}

	/**
	 * Looks for faults of the target.
	 * @param target the target
	 * @param inherited true if another owner has decided until now: bad answers of the
	 * past count without regard to when they came
	 * @param now current time
	 * @return the worst result, described
	 */
	Finding judge(String target, boolean inherited, long now) {
		EvidenceSnapshot current = EvidenceSnapshot.of(this.reports.values().stream().map(Report::evidence).toList(),
				target);
		Finding worst = Finding.SOUND;
		for (String route : current.routes()) {
			for (EvidenceView view : EvidenceView.of(route, current)) {
				FaultTest.Result all = view.compare(current, 1);
				worst = worst.worse(route,
						inherited ? all : lasting(view, current, null, all, MAX_SLICES, BURST_SLICES));
				for (int window : WINDOWS) {
					worst = worst.worse(route, judgeWindow(view, current, window));
				}
			}
		}
		if (now - this.lastSliceAt >= SLICE_MILLIS) {
			this.lastSliceAt = now;
			recordBursts(current);
			this.slices.addLast(current);
			if (this.slices.size() > MAX_SLICES) {
				this.slices.removeFirst();
			}
		}
		return worst;
	}

	// Keeps the largest numbers of failures in one slice, which the test of the totals
	// leaves out also when the slices are gone.
	private void recordBursts(EvidenceSnapshot current) {
		EvidenceSnapshot before = this.slices.peekLast();
		for (String route : current.routes()) {
			long[] largest = this.bursts.computeIfAbsent(route, (key) -> new long[BURST_SLICES]);
			long failed = (before != null) ? current.target(route).since(before.target(route)).failed() : 0;
			if (failed > largest[0]) {
				largest[0] = failed;
				Arrays.sort(largest);
			}
		}
	}

	private FaultTest.Result judgeWindow(EvidenceView view, EvidenceSnapshot current, int window) {
		if (this.slices.size() < WINDOWS[0]) {
			return FaultTest.Result.SOUND;
		}
		EvidenceSnapshot from = oldest(window);
		RouteTally target = view.target(current).since(view.target(from));
		RouteTally samePeriod = view.others(current).since(view.others(from));
		if (samePeriod.ended() >= MIN_SAME_PERIOD) {
			return lasting(view, current, from, view.compare(target, samePeriod, 1), window, BURST_SLICES);
		}
		FaultTest.Result alone = view.compare(target, view.others(current), MARGIN_ALONE);
		return lasting(view, current, from, alone, window,
				alone.measure().failures() ? BURST_SLICES : BURST_SLICES_ALONE);
	}

	private EvidenceSnapshot oldest(int window) {
		Iterator<EvidenceSnapshot> newestFirst = this.slices.descendingIterator();
		EvidenceSnapshot snapshot = newestFirst.next();
		for (int i = 1; i < window && newestFirst.hasNext(); i++) {
			snapshot = newestFirst.next();
		}
		return snapshot;
	}

	// Lowers a verdict that rests on few slices, or on one endpoint of several.
	private FaultTest.Result lasting(EvidenceView view, EvidenceSnapshot current, EvidenceSnapshot from,
			FaultTest.Result result, int window, int left) {
		if (result.verdict() != FaultTest.Verdict.FAULTY) {
			return result;
		}
		if (this.slices.isEmpty()) {
			return result.suspect();
		}
		List<long[]> parts = new ArrayList<>();
		RouteTally later = view.target(current);
		Iterator<EvidenceSnapshot> newestFirst = this.slices.descendingIterator();
		for (int i = 0; i < window && newestFirst.hasNext(); i++) {
			RouteTally earlier = view.target(newestFirst.next());
			RouteTally slice = later.since(earlier);
			parts.add(new long[] { result.measure().bad(slice), result.measure().all(slice) });
			later = earlier;
		}
		parts.sort((one, other) -> Long.compare(other[0], one[0]));
		long bad = 0;
		long all = 0;
		for (long[] part : parts.subList(0, Math.min(left, parts.size()))) {
			bad += part[0];
			all += part[1];
		}
		if (window == MAX_SLICES && result.measure().failures()) {
			bad = Math.max(bad, Arrays.stream(this.bursts.getOrDefault(view.route(), new long[0])).sum());
		}
		long[] worst = view.worstEndpoint(result.measure(), current, from);
		boolean lasts = result.without(bad, all).verdict() != FaultTest.Verdict.SOUND
				&& result.without(worst[0], worst[1]).verdict() != FaultTest.Verdict.SOUND;
		return lasts ? result : result.suspect();
	}

	/**
	 * Worst result over all routes. Immutable.
	 *
	 * @param verdict the verdict
	 * @param reason description of the result
	 */
	record Finding(FaultTest.Verdict verdict, String reason) {

		static final Finding SOUND = new Finding(FaultTest.Verdict.SOUND, "");

		Finding worse(String route, FaultTest.Result result) {
			return (result.verdict().compareTo(this.verdict) > 0)
					? new Finding(result.verdict(), result.describe(route)) : this;
		}

	}

	/**
	 * Change that a host knows. Immutable.
	 *
	 * @param revision its number
	 * @param state state of the rollout after it
	 */
	record Known(long revision, RolloutState state) {

	}

	private record Report(String host, VersionEvidence evidence, long at) {

	}

}
