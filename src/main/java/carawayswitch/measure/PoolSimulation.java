package carawayswitch.measure;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

import carawayswitch.config.PressurePolicy;
import carawayswitch.config.Tier;
import carawayswitch.schedule.AttemptResult;
import carawayswitch.schedule.PoolDecision;
import carawayswitch.schedule.PoolEngine;
import carawayswitch.schedule.PoolRequest;
import carawayswitch.schedule.PoolScheduler;
import carawayswitch.schedule.Work;

/**
 * Plays a pattern of load on a virtual clock against the scheduler of a pool as gateways
 * use it, with engines that admit in order of arrival, and clients that come back once
 * after a refusal. Same seed, same result. Not safe for use by several threads.
 */
final class PoolSimulation {

	private static final EngineModel ENGINE = new EngineModel(3.09, 0.102, 1 / 56.9, 1024, 8, 590_000);

	private static final int TOKENS_PER_EVENT = 5;

	/** Way between hosts, engines and clients in milliseconds. */
	private static final double WAY_MILLIS = 1;

	private static final long TICK_MILLIS = 25;

	private static final double MILLIS = 1000;

	/** Part of a client's patience for a first event that a request may wait. */
	private static final double WAIT_SHARE = 0.7;

	private static final double MIN_PATIENCE_MILLIS = 2000;

	private static final int PATIENCE_OBJECTIVES = 4;

	private static final double CLIENT_RETRY_SHARE = 1 / 3.0;

	private final PoolLoad load;

	private final boolean firstInFirstOut;

	/** Draws arrivals, which are the same for every policy. */
	private final RandomGenerator random;

	/** Draws what clients guess. */
	private final RandomGenerator guesses;

	private final EventQueue clock = new EventQueue();

	private final PoolScheduler scheduler = new PoolScheduler();

	private final List<FakeEngine> engines = new ArrayList<>();

	private final Map<String, Attempt> attempts = new HashMap<>();

	private final List<PoolResult> results = new ArrayList<>();

	private int ids;

	private PoolSimulation(PoolLoad load, boolean firstInFirstOut, long seed) {
		this.load = load;
		this.firstInFirstOut = firstInFirstOut;
		this.random = new SplittableRandom(seed);
		this.guesses = new SplittableRandom(seed + 1);
		PoolLoad.KINDS.forEach((kind) -> this.results.add(new PoolResult(kind)));
	}

	/**
	 * Plays a pattern.
	 * @param load the pattern
	 * @param firstInFirstOut true for a baseline that sends each request at once to the
	 * engine with the fewest
	 * @param seed seed of the random numbers
	 * @return what became of each kind, in the order of {@link PoolLoad#KINDS}
	 */
	static List<PoolResult> play(PoolLoad load, boolean firstInFirstOut, long seed) {
		PoolSimulation simulation = new PoolSimulation(load, firstInFirstOut, seed);
		simulation.run();
		return simulation.results;
	}

	private void run() {
		for (int i = 0; i < PoolLoad.SLOWNESS.length; i++) {
			this.engines.add(newEngine(i));
		}
		tellEngines();
		for (PoolLoad.Outage outage : this.load.outages()) {
			this.clock.after(outage.at() * MILLIS, () -> loseEngine(outage.engine()));
			this.clock.after((outage.at() + outage.seconds()) * MILLIS, () -> {
				this.engines.set(outage.engine(), newEngine(outage.engine()));
				tellEngines();
			});
		}
		for (int kind = 0; kind < PoolLoad.KINDS.size(); kind++) {
			for (int organisation = 0; organisation < PoolLoad.ORGANISATION_SHARES.length; organisation++) {
				scheduleArrival(kind, organisation);
			}
		}
		tick();
		this.clock.runUntil((PoolLoad.SECONDS + 20) * MILLIS);
	}

	private FakeEngine newEngine(int index) {
		FakeEngine engine = new FakeEngine("engine-" + index + "-" + this.ids++, ENGINE, this.clock);
		engine.slowdown(PoolLoad.SLOWNESS[index]);
		return engine;
	}

	private void loseEngine(int index) {
		this.engines.get(index).lose();
		tellEngines();
	}

	private void tellEngines() {
		this.scheduler.engines(this.engines.stream()
			.filter((engine) -> !engine.lost())
			.map((engine) -> new PoolEngine(engine.id(), "a", ENGINE.maxRunning(), ENGINE.kvTokens()))
			.toList());
	}

	private void scheduleArrival(int kind, int organisation) {
		double second = this.clock.now() / MILLIS;
		double rate = this.load.rate(kind, organisation, second);
		double pause = -Math.log(1 - this.random.nextDouble()) / rate * MILLIS;
		// A short look ahead, so that changes of the rate are not slept through.
		boolean arrives = pause <= MILLIS / 4;
		this.clock.after(Math.min(pause, MILLIS / 4), () -> {
			if (this.clock.now() >= PoolLoad.SECONDS * MILLIS) {
				return;
			}
			if (arrives) {
				arrive(kind, organisation);
			}
			scheduleArrival(kind, organisation);
		});
	}

	private double logNormal(double mean, double spread, double max) {
		double normal = 0;
		for (int i = 0; i < 12; i++) {
			normal += this.random.nextDouble();
		}
		return Math.min(max, mean * Math.exp((normal - 6) * spread - spread * spread / 2));
	}

	private void arrive(int kindIndex, int organisation) {
		PoolLoad.Kind kind = PoolLoad.KINDS.get(kindIndex);
		int prompt = 60 + (int) logNormal(kind.promptTokens(), kind.promptSpread(), kind.promptTokens() * 8);
		int output = 1 + (int) logNormal(kind.outputTokens(), kind.outputSpread(), kind.outputTokens() * 10);
		Attempt attempt = new Attempt(kindIndex, organisation, prompt, output, this.clock.now());
		this.results.get(kindIndex).asked(attempt.size());
		offer(attempt);
	}

	private void offer(Attempt attempt) {
		long now = this.clock.now();
		PoolLoad.Kind kind = attempt.kind();
		attempt.id = "r" + this.ids++;
		attempt.offeredAt = now;
		this.attempts.put(attempt.id, attempt);
		if (this.firstInFirstOut) {
			this.engines.stream()
				.filter((engine) -> !engine.lost())
				.min(Comparator.comparingInt(FakeEngine::outstanding))
				.ifPresent((engine) -> send(attempt, engine));
			return;
		}
		long deadline = attempt.arrivedAt + kind.clientMillis();
		double patience = Math.max(MIN_PATIENCE_MILLIS, PATIENCE_OBJECTIVES * kind.objectiveMillis()) * WAIT_SHARE;
		int urgency = Math.min(Tier.HIGHEST_URGENCY, kind.urgency());
		int expected = Math.max(1, (int) (attempt.output * Math.exp((this.guesses.nextDouble() - 0.5) * 1.4)));
		Work work = new Work(attempt.id, urgency, kind.name(), 1, "o" + attempt.organisation, 1, PressurePolicy.WAIT,
				attempt.prompt, 0, 0, expected, 0, now, Math.min(deadline, now + (long) patience));
		this.scheduler.offer(new PoolRequest(work, "host", "a",
				now + kind.objectiveMillis() - ((attempt.refusals > 0) ? kind.objectiveMillis() : 0), Set.of(),
				deadline, attempt.key), now);
		decide();
	}

	private void tick() {
		decide();
		if (this.clock.now() < (PoolLoad.SECONDS + 15) * MILLIS) {
			this.clock.after(TICK_MILLIS, this::tick);
		}
	}

	private void decide() {
		for (PoolDecision decision : this.scheduler.decide(this.clock.now())) {
			Attempt attempt = this.attempts.get(decision.request().work().id());
			if (decision.granted()) {
				FakeEngine engine = this.engines.stream()
					.filter((each) -> each.id().equals(decision.engine()))
					.findFirst()
					.orElseThrow();
				this.clock.after(2 * WAY_MILLIS, () -> send(attempt, engine));
			}
			else {
				refused(attempt, decision.retryAfterMillis());
			}
		}
	}

	private void refused(Attempt attempt, long retryAfterMillis) {
		long now = this.clock.now();
		this.results.get(attempt.kindIndex).refused(attempt.refusals > 0, now - attempt.offeredAt);
		double left = attempt.arrivedAt + attempt.kind().clientMillis() - now;
		if (attempt.refusals++ == 0 && retryAfterMillis <= left * CLIENT_RETRY_SHARE) {
			this.clock.after(retryAfterMillis + 2 * WAY_MILLIS, () -> offer(attempt));
		}
	}

	private void send(Attempt attempt, FakeEngine engine) {
		if (engine.lost()) {
			this.scheduler.onEnded(attempt.id, AttemptResult.UNREACHABLE, 0, 0, this.clock.now());
			refused(attempt, 100);
			return;
		}
		attempt.sentAt = this.clock.now();
		engine.submit(new FakeEngine.Run(
				new Request(0, null, "o", attempt.prompt, attempt.output, 0, 0, attempt.arrivedAt, false), attempt));
	}

	/**
	 * One request of a client. Not safe for use by several threads.
	 */
	private final class Attempt implements FakeEngine.Listener {

		final int kindIndex;

		final int organisation;

		final int prompt;

		final int output;

		final long arrivedAt;

		final String key = "k" + PoolSimulation.this.ids++;

		String id;

		long offeredAt;

		long sentAt;

		long firstAt = -1;

		int refusals;

		Attempt(int kindIndex, int organisation, int prompt, int output, long arrivedAt) {
			this.kindIndex = kindIndex;
			this.organisation = organisation;
			this.prompt = prompt;
			this.output = output;
			this.arrivedAt = arrivedAt;
		}

		PoolLoad.Kind kind() {
			return PoolLoad.KINDS.get(this.kindIndex);
		}

		double size() {
			return kind().size(this.prompt, this.output);
		}

		@Override
		public void onToken(FakeEngine.Run run) {
			boolean event = run.generated % TOKENS_PER_EVENT == 0 || run.generated == this.output;
			if (this.firstAt < 0 && event) {
				this.firstAt = PoolSimulation.this.clock.now();
				PoolSimulation.this.scheduler.onFirstEvent(this.id, this.firstAt - this.sentAt);
			}
		}

		@Override
		public void onDone(FakeEngine.Run run) {
			long now = PoolSimulation.this.clock.now();
			boolean served = now - this.arrivedAt <= kind().clientMillis();
			if (served) {
				PoolSimulation.this.results.get(this.kindIndex)
					.served(size(), this.firstAt - this.arrivedAt <= kind().objectiveMillis());
			}
			PoolSimulation.this.scheduler.onEnded(this.id, AttemptResult.ANSWERED, this.output, now - this.firstAt,
					now);
			decide();
		}

		@Override
		public void onBroken(FakeEngine.Run run) {
			PoolSimulation.this.scheduler.onEnded(this.id, AttemptResult.LOST, 0, 0, PoolSimulation.this.clock.now());
		}

	}

}
