package carawayswitch.measure;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

import carawayswitch.config.PressurePolicy;
import carawayswitch.schedule.AttemptResult;
import carawayswitch.schedule.EligibleVersions;
import carawayswitch.schedule.PoolDecision;
import carawayswitch.schedule.PoolEngine;
import carawayswitch.schedule.PoolRequest;
import carawayswitch.schedule.PoolScheduler;
import carawayswitch.schedule.StreamStats;
import carawayswitch.schedule.Work;

/**
 * Simulates a load pattern on a virtual clock against the scheduler of a pool, as
 * gateways use it. Engines admit in order of arrival; clients retry once after a
 * rejection. The results are deterministic for a seed. Not safe for use by several
 * threads.
 */
final class PoolSimulation {

	/** One-way delay between hosts, engines and clients in milliseconds. */
	private static final double NETWORK_DELAY_MILLIS = 1;

	private static final long TICK_INTERVAL_MILLIS = 25;

	private static final double MILLIS_PER_SECOND = 1000;

	/** Share of the wait limit for a first event that a request may spend queued. */
	private static final double MAX_WAIT_SHARE = 0.7;

	/** Lower bound of the wait limit for a first event in milliseconds. */
	private static final double MIN_WAIT_LIMIT_MILLIS = 2000;

	/** Wait limit for a first event as a multiple of the objective of the kind. */
	private static final int WAIT_LIMIT_OBJECTIVES = 4;

	/** Silence of a stream in milliseconds after which its host reports it as stalled. */
	private static final long STALL_MILLIS = 1000;

	/** Clients retry if the delay is within this share of their remaining time. */
	private static final double MAX_RETRY_AFTER_SHARE = 1 / 3.0;

	private final PoolLoad load;

	private final PoolSite site;

	private final boolean firstInFirstOut;

	/** Draws arrivals and lengths, so that they are the same for every policy. */
	private final RandomGenerator arrivalRandom;

	/** Draws the errors of the output lengths that clients expect. */
	private final RandomGenerator estimateRandom;

	private final EventQueue clock = new EventQueue();

	private final PoolScheduler scheduler = new PoolScheduler();

	private final List<SimulatedEngine> engines = new ArrayList<>();

	private final Map<String, ClientRequest> requests = new HashMap<>();

	/** Requests at an engine by id. */
	private final Map<String, ClientRequest> dispatched = new LinkedHashMap<>();

	private final List<PoolResult> results = new ArrayList<>();

	private int nextId;

	private PoolSimulation(PoolLoad load, boolean firstInFirstOut, long seed) {
		this.load = load;
		this.site = load.site();
		this.firstInFirstOut = firstInFirstOut;
		this.arrivalRandom = new SplittableRandom(seed);
		this.estimateRandom = new SplittableRandom(seed + 1);
		load.site().kinds().forEach((kind) -> this.results.add(new PoolResult(kind)));
	}

	/**
	 * Simulates a load pattern.
	 * @param load the pattern
	 * @param firstInFirstOut true for a baseline that dispatches each request at once to
	 * the engine with the fewest outstanding requests
	 * @param seed seed of the random numbers
	 * @return results of each kind, in the order of the kinds of the site
	 */
	static List<PoolResult> simulate(PoolLoad load, boolean firstInFirstOut, long seed) {
		PoolSimulation simulation = new PoolSimulation(load, firstInFirstOut, seed);
		simulation.run();
		return simulation.results;
	}

	private void run() {
		for (int i = 0; i < this.site.stepTimeFactors().size(); i++) {
			this.engines.add(newEngine(i));
		}
		publishEngines();
		for (PoolLoad.Outage outage : this.load.outages()) {
			if (outage.dark()) {
				scheduleDarkness(outage);
				continue;
			}
			this.clock.schedule(outage.startSecond() * MILLIS_PER_SECOND, () -> failEngine(outage.engine()));
			this.clock.schedule((outage.startSecond() + outage.durationSeconds()) * MILLIS_PER_SECOND, () -> {
				this.engines.set(outage.engine(), newEngine(outage.engine()));
				publishEngines();
			});
		}
		for (int kind = 0; kind < this.site.kinds().size(); kind++) {
			for (int organisation = 0; organisation < this.site.organisationShares().size(); organisation++) {
				scheduleArrival(kind, organisation);
			}
		}
		if (this.site.noise().share() > 0) {
			drawNoise(new SplittableRandom(this.nextId));
		}
		tick();
		this.clock.runUntil((PoolLoad.ARRIVAL_SECONDS + 20) * MILLIS_PER_SECOND);
	}

	private SimulatedEngine newEngine(int index) {
		SimulatedEngine engine = new SimulatedEngine("engine-" + index + "-" + this.nextId++, this.site.engineModel(),
				this.clock);
		engine.slowdownFactor(this.site.stepTimeFactors().get(index));
		return engine;
	}

	private void drawNoise(RandomGenerator random) {
		for (int i = 0; i < this.engines.size(); i++) {
			boolean slowed = random.nextDouble() < this.site.noise().share();
			this.engines.get(i)
				.slowdownFactor(this.site.stepTimeFactors().get(i) * (slowed ? this.site.noise().factor() : 1));
		}
		if (this.clock.now() < PoolLoad.ARRIVAL_SECONDS * MILLIS_PER_SECOND) {
			this.clock.schedule(this.site.noise().periodMillis(), () -> drawNoise(random));
		}
	}

	private void scheduleDarkness(PoolLoad.Outage outage) {
		SimulatedEngine engine = this.engines.get(outage.engine());
		this.clock.schedule(outage.startSecond() * MILLIS_PER_SECOND, () -> engine.dark(true));
		this.clock.schedule((outage.startSecond() + outage.durationSeconds()) * MILLIS_PER_SECOND,
				() -> engine.dark(false));
	}

	private void failEngine(int index) {
		this.engines.get(index).fail();
		publishEngines();
	}

	private void publishEngines() {
		this.scheduler.engines(this.engines.stream()
			.filter((engine) -> !engine.failed())
			.map((engine) -> new PoolEngine(engine.id(), "v1", "a", this.site.engineModel().maxRunning(),
					this.site.engineModel().kvTokens()))
			.toList());
	}

	private void scheduleArrival(int kind, int organisation) {
		double second = this.clock.now() / MILLIS_PER_SECOND;
		double requestsPerSecond = this.load.requestsPerSecond(kind, organisation, second);
		double interArrivalMillis = -Math.log(1 - this.arrivalRandom.nextDouble()) / requestsPerSecond
				* MILLIS_PER_SECOND;
		// Looks at most 250 ms ahead, so that changes of the request rate take effect.
		boolean arrives = interArrivalMillis <= MILLIS_PER_SECOND / 4;
		this.clock.schedule(Math.min(interArrivalMillis, MILLIS_PER_SECOND / 4), () -> {
			if (this.clock.now() >= PoolLoad.ARRIVAL_SECONDS * MILLIS_PER_SECOND) {
				return;
			}
			if (arrives) {
				arrive(kind, organisation);
			}
			scheduleArrival(kind, organisation);
		});
	}

	private double logNormal(double mean, double logStdDev, double max) {
		double normal = 0;
		for (int i = 0; i < 12; i++) {
			normal += this.arrivalRandom.nextDouble();
		}
		return Math.min(max, mean * Math.exp((normal - 6) * logStdDev - logStdDev * logStdDev / 2));
	}

	private void arrive(int kindIndex, int organisation) {
		PoolSite.Kind kind = this.site.kinds().get(kindIndex);
		int promptTokens = 60 + (int) logNormal(kind.promptTokens(), kind.promptLogStdDev(), kind.promptTokens() * 8);
		int outputTokens = 1 + (int) logNormal(kind.outputTokens(), kind.outputLogStdDev(), kind.outputTokens() * 10);
		ClientRequest request = new ClientRequest(kindIndex, organisation, promptTokens, outputTokens,
				this.clock.now());
		this.results.get(kindIndex).offered(request.relativeSize());
		offer(request);
	}

	private void offer(ClientRequest request) {
		long now = this.clock.now();
		PoolSite.Kind kind = request.kind();
		request.id = "r" + this.nextId++;
		request.offeredAt = now;
		this.requests.put(request.id, request);
		if (this.firstInFirstOut) {
			this.engines.stream()
				.filter((engine) -> !engine.failed())
				.min(Comparator.comparingInt(SimulatedEngine::outstanding))
				.ifPresent((engine) -> dispatch(request, engine));
			return;
		}
		long deadline = request.arrivedAt + kind.clientTimeoutMillis();
		double waitLimitMillis = request.waitLimitMillis() * MAX_WAIT_SHARE;
		int level = this.site.priority(kind).level();
		int expectedTokens = Math.max(1,
				(int) (request.outputTokens * Math.exp((this.estimateRandom.nextDouble() - 0.5) * 1.4)));
		Work work = new Work(request.id, level, kind.name(), 1, "o" + request.organisation, 1, PressurePolicy.WAIT,
				request.promptTokens, 0, 0, expectedTokens, 0, now, Math.min(deadline, now + (long) waitLimitMillis));
		this.scheduler.offer(new PoolRequest(work, "host", "a", now + kind.objectiveMillis(), Set.of(), deadline,
				request.key, false, (long) this.site.maxGapMillis(), EligibleVersions.ANY, Set.of()), now);
		decide();
	}

	private void tick() {
		List.copyOf(this.dispatched.values()).forEach(ClientRequest::checkSilence);
		decide();
		if (this.clock.now() < (PoolLoad.ARRIVAL_SECONDS + 15) * MILLIS_PER_SECOND) {
			this.clock.schedule(TICK_INTERVAL_MILLIS, this::tick);
		}
	}

	private void decide() {
		for (PoolDecision decision : this.scheduler.decide(this.clock.now())) {
			ClientRequest request = this.requests.get(decision.request().work().id());
			if (decision.granted()) {
				SimulatedEngine engine = this.engines.stream()
					.filter((candidate) -> candidate.id().equals(decision.engine()))
					.findFirst()
					.orElseThrow();
				this.clock.schedule(2 * NETWORK_DELAY_MILLIS, () -> dispatch(request, engine));
			}
			else {
				onRejected(request, decision.retryAfterMillis());
			}
		}
	}

	private void onRejected(ClientRequest request, long retryAfterMillis) {
		long now = this.clock.now();
		this.results.get(request.kindIndex).rejected(request.rejections > 0, now - request.offeredAt);
		double remainingMillis = request.arrivedAt + request.kind().clientTimeoutMillis() - now;
		if (request.rejections++ == 0 && retryAfterMillis <= remainingMillis * MAX_RETRY_AFTER_SHARE) {
			this.clock.schedule(retryAfterMillis + 2 * NETWORK_DELAY_MILLIS, () -> offer(request));
		}
	}

	private void dispatch(ClientRequest request, SimulatedEngine engine) {
		if (engine.failed()) {
			this.scheduler.onEnded(request.id, AttemptResult.UNREACHABLE, StreamStats.NONE, this.clock.now());
			onRejected(request, 100);
			return;
		}
		request.dispatchedAt = this.clock.now();
		request.progressAt = request.dispatchedAt;
		this.dispatched.put(request.id, request);
		request.run = new SimulatedEngine.Run(
				new Request(0, null, "o", request.promptTokens, request.outputTokens, 0, 0, request.arrivedAt, false),
				request);
		engine.submit(request.run);
	}

	/**
	 * Request of a client, including its retry. Not safe for use by several threads.
	 */
	private final class ClientRequest implements SimulatedEngine.Listener {

		final int kindIndex;

		final int organisation;

		final int promptTokens;

		final int outputTokens;

		final long arrivedAt;

		final String key = "k" + PoolSimulation.this.nextId++;

		String id;

		long offeredAt;

		long dispatchedAt;

		long firstEventAt = -1;

		long progressAt;

		boolean stalled;

		long longestPauseMillis;

		SimulatedEngine.Run run;

		int rejections;

		ClientRequest(int kindIndex, int organisation, int promptTokens, int outputTokens, long arrivedAt) {
			this.kindIndex = kindIndex;
			this.organisation = organisation;
			this.promptTokens = promptTokens;
			this.outputTokens = outputTokens;
			this.arrivedAt = arrivedAt;
		}

		PoolSite.Kind kind() {
			return PoolSimulation.this.site.kinds().get(this.kindIndex);
		}

		long waitLimitMillis() {
			return (long) Math.max(MIN_WAIT_LIMIT_MILLIS, WAIT_LIMIT_OBJECTIVES * kind().objectiveMillis());
		}

		// A host reports a stalled stream; a client leaves a stream that stays silent.
		void checkSilence() {
			long now = PoolSimulation.this.clock.now();
			if (now - this.progressAt > waitLimitMillis()) {
				this.run.engine.cancel(this.run);
				PoolSimulation.this.dispatched.remove(this.id);
				PoolSimulation.this.scheduler.onEnded(this.id, AttemptResult.ABANDONED, StreamStats.NONE, now);
			}
			else if (this.firstEventAt >= 0 && !this.stalled && now - this.progressAt > STALL_MILLIS) {
				this.stalled = true;
				PoolSimulation.this.scheduler.onStalled(this.id, true, now);
			}
		}

		double relativeSize() {
			return kind().relativeSize(this.promptTokens, this.outputTokens);
		}

		@Override
		public void onToken(SimulatedEngine.Run run) {
			boolean event = run.generatedTokens % PoolSimulation.this.site.tokensPerEvent() == 0
					|| run.generatedTokens == this.outputTokens;
			if (event) {
				long now = PoolSimulation.this.clock.now();
				this.longestPauseMillis = (this.firstEventAt >= 0)
						? Math.max(this.longestPauseMillis, now - this.progressAt) : 0;
				this.progressAt = PoolSimulation.this.clock.now();
				if (this.stalled) {
					this.stalled = false;
					PoolSimulation.this.scheduler.onStalled(this.id, false, this.progressAt);
				}
			}
			if (this.firstEventAt < 0 && event) {
				this.firstEventAt = PoolSimulation.this.clock.now();
				PoolSimulation.this.scheduler.onFirstEvent(this.id, this.firstEventAt - this.dispatchedAt);
			}
		}

		@Override
		public void onDone(SimulatedEngine.Run run) {
			long now = PoolSimulation.this.clock.now();
			PoolSimulation.this.dispatched.remove(this.id);
			boolean served = now - this.arrivedAt <= kind().clientTimeoutMillis();
			if (served) {
				PoolSimulation.this.results.get(this.kindIndex)
					.served(relativeSize(), this.firstEventAt - this.arrivedAt <= kind().objectiveMillis()
							&& this.longestPauseMillis <= PoolSimulation.this.site.maxGapMillis());
			}
			PoolSimulation.this.scheduler.onEnded(this.id, AttemptResult.ANSWERED,
					new StreamStats(this.outputTokens, now - this.firstEventAt, this.longestPauseMillis), now);
			decide();
		}

		@Override
		public void onEngineFailed(SimulatedEngine.Run run) {
			PoolSimulation.this.dispatched.remove(this.id);
			PoolSimulation.this.scheduler.onEnded(this.id, AttemptResult.LOST, StreamStats.NONE,
					PoolSimulation.this.clock.now());
		}

	}

}
