package carawayswitch.measure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

import carawayswitch.config.PressurePolicy;
import carawayswitch.message.EndpointDigest;
import carawayswitch.outcome.Outcome;
import carawayswitch.schedule.EndpointLoadBalancer;
import carawayswitch.schedule.EndpointLoadView;
import carawayswitch.schedule.EndpointRouter;
import carawayswitch.schedule.OfferResult;
import carawayswitch.schedule.OutputLengthEstimator;
import carawayswitch.schedule.RetryBudget;
import carawayswitch.schedule.Work;

/**
 * Runs the requests of a workload under a policy, with entry hosts that see old digests,
 * on the virtual clock. Not safe for use by several threads.
 */
final class Simulation {

	private static final int ENTRIES = 6;

	private static final int MAX_ATTEMPTS = 3;

	private static final double RETRY_RATIO = 0.1;

	private static final long TICK_MILLIS = 20;

	private static final long DRAIN_MILLIS = 90_000;

	private static final long REPORT_LAG_MILLIS = 1000;

	private static final int BYTES_PER_TOKEN = 4;

	private final EventQueue clock = new EventQueue();

	private final MeasuredPolicy policy;

	private final Workload workload;

	private final List<Owner> owners = new ArrayList<>();

	private final List<Entry> entries = new ArrayList<>();

	private final List<RequestResult> results = new ArrayList<>();

	private List<Integer> outstanding = new ArrayList<>();

	private int turn;

	private int protectedShed;

	private long wastedPromptTokens;

	Simulation(Workload workload, MeasuredPolicy policy, long seed) {
		this.workload = workload;
		this.policy = policy;
		List<EngineModel> models = workload.engines();
		for (int i = 0; i < models.size(); i++) {
			this.owners.add(new Owner(new FakeEngine("engine-" + i, models.get(i), this.clock)));
			this.outstanding.add(0);
		}
		SplittableRandom seeds = new SplittableRandom(seed);
		for (int i = 0; i < ENTRIES; i++) {
			this.entries.add(new Entry(seeds.split()));
		}
	}

	SimulationReport run(List<Request> requests) {
		for (Request request : requests) {
			RequestResult result = new RequestResult(request);
			this.results.add(result);
			this.clock.after(request.arrivalMillis(), () -> arrive(result));
		}
		this.workload.disturb(this.owners.stream().map((owner) -> owner.engine).toList(), this.clock);
		every(TICK_MILLIS, () -> this.owners.forEach(Owner::tick));
		every(this.workload.digestMillis(), this::publishDigests);
		every(REPORT_LAG_MILLIS, this::publishReports);
		publishDigests();
		this.clock.runUntil(Workload.END + DRAIN_MILLIS);
		long prompt = this.owners.stream().mapToLong((owner) -> owner.engine.processedPromptTokens()).sum();
		return new SimulationReport(this.results, prompt, this.wastedPromptTokens, this.protectedShed);
	}

	private void every(long millis, Runnable action) {
		this.clock.after(millis, () -> {
			action.run();
			if (this.clock.now() < Workload.END + DRAIN_MILLIS) {
				every(millis, action);
			}
		});
	}

	private void publishDigests() {
		if (this.policy == MeasuredPolicy.CURRENT) {
			List<EndpointDigest> digests = this.owners.stream()
				.map((owner) -> owner.front.digest(this.clock.now()))
				.toList();
			for (EndpointDigest digest : digests) {
				this.owners.forEach(
						(owner) -> owner.front.yieldBelow(digest.endpoint(), digest.yieldBelow(), this.clock.now()));
				this.entries.forEach((entry) -> entry.onDigest(digest));
			}
		}
	}

	private void publishReports() {
		List<Integer> report = this.owners.stream()
			.map((owner) -> owner.engine.outstanding() + owner.front.queued().size())
			.toList();
		this.outstanding = new ArrayList<>(report);
	}

	private void arrive(RequestResult result) {
		Entry entry = this.entries.get(result.request.id() % ENTRIES);
		if (this.policy == MeasuredPolicy.CURRENT) {
			new Attempts(entry, result).next();
			return;
		}
		int index = this.policy.route(this.outstanding, this.turn++);
		this.outstanding.set(index, this.outstanding.get(index) + 1);
		Attempts attempts = new Attempts(entry, result);
		this.owners.get(index).offer(attempts, work(result.request, entry));
	}

	private Work work(Request request, Entry entry) {
		int expected = entry.lengths.expectedTokens(request.kind().name(), request.organisation(),
				request.kind().outputTokens());
		return new Work("r" + request.id(), request.kind().urgency(), request.kind().name(), 1, request.organisation(),
				1, request.kind().pressure(), request.promptTokens(), request.prefixHash(), request.prefixTokens(),
				expected, request.promptTokens() * BYTES_PER_TOKEN, request.arrivalMillis(), request.deadlineMillis());
	}

	private boolean lowerWorkAnywhere(int urgency) {
		return this.owners.stream()
			.filter((owner) -> !owner.engine.lost())
			.anyMatch((owner) -> owner.couldYield(urgency));
	}

	/**
	 * An entry host: what it knows of the engines.
	 */
	private final class Entry {

		private final SplittableRandom random;

		private final OutputLengthEstimator lengths = new OutputLengthEstimator();

		private final RetryBudget budget = new RetryBudget(RETRY_RATIO);

		private final Map<String, EndpointLoadView> views = new HashMap<>();

		private final List<EndpointLoadBalancer.Candidate> candidates = new ArrayList<>();

		Entry(SplittableRandom random) {
			this.random = random;
			for (Owner owner : Simulation.this.owners) {
				EndpointLoadView view = new EndpointLoadView(owner.engine.id());
				this.views.put(owner.engine.id(), view);
				this.candidates.add(new EndpointLoadBalancer.Candidate(view, true));
			}
		}

		void onDigest(EndpointDigest digest) {
			this.views.get(digest.endpoint()).onDigest(digest, Simulation.this.clock.now());
		}

	}

	/**
	 * The attempts of one request.
	 */
	private final class Attempts {

		private final Entry entry;

		private final RequestResult result;

		private final Set<String> refusedBy = new HashSet<>();

		private int count;

		private int refusals;

		Attempts(Entry entry, RequestResult result) {
			this.entry = entry;
			this.result = result;
		}

		void next() {
			long now = Simulation.this.clock.now();
			Work work = work(this.result.request, this.entry);
			boolean mayTry = EndpointRouter.mayTryAnother(work, this.refusals, MAX_ATTEMPTS);
			EndpointLoadBalancer.Candidate chosen = (mayTry && now < work.deadlineMillis())
					? EndpointRouter.select(this.entry.candidates, this.refusedBy, work, this.entry.random, now) : null;
			if (chosen == null) {
				end(Outcome.NOT_RUN);
				return;
			}
			this.count++;
			chosen.view().onDispatched(work);
			for (Owner owner : Simulation.this.owners) {
				if (owner.engine.id().equals(chosen.view().id())) {
					owner.offer(this, work);
				}
			}
		}

		void refused(Owner owner) {
			this.refusedBy.add(owner.engine.id());
			this.refusals++;
			this.entry.onDigest(owner.front.digest(Simulation.this.clock.now()));
			if (Simulation.this.policy == MeasuredPolicy.CURRENT) {
				next();
			}
			else {
				end(Outcome.NOT_RUN);
			}
		}

		void broken() {
			boolean retry = Simulation.this.policy == MeasuredPolicy.CURRENT && this.result.request.kind().idempotent()
					&& this.count < MAX_ATTEMPTS && this.entry.budget.tryRetry();
			if (retry) {
				next();
			}
			else {
				end(Outcome.UNKNOWN);
			}
		}

		void end(Outcome outcome) {
			if (this.result.outcome != null) {
				return;
			}
			this.result.outcome = outcome;
			this.result.endedAt = Simulation.this.clock.now();
			if (outcome == Outcome.ANSWERED) {
				this.entry.budget.onSuccess();
				this.entry.lengths.onFinished(this.result.request.kind().name(), this.result.request.organisation(),
						this.result.request.outputTokens());
			}
			boolean shed = outcome == Outcome.NOT_RUN
					&& this.result.request.kind().pressure() == PressurePolicy.PROTECT;
			if (shed && lowerWorkAnywhere(this.result.request.kind().urgency())) {
				Simulation.this.protectedShed++;
			}
		}

	}

	/**
	 * The owner of an engine.
	 */
	private final class Owner implements FakeEngine.Listener {

		private final FakeEngine engine;

		private final EngineFront front;

		private final Map<String, Attempts> queued = new HashMap<>();

		private final Map<String, FakeEngine.Run> runs = new HashMap<>();

		private final Map<String, Work> works = new HashMap<>();

		Owner(FakeEngine engine) {
			this.engine = engine;
			this.front = Simulation.this.policy.front(engine);
		}

		private long now() {
			return Simulation.this.clock.now();
		}

		void offer(Attempts attempts, Work work) {
			OfferResult offer = this.front.offer(work, now());
			offer.shedWork().forEach(this::drop);
			if (!offer.accepted()) {
				attempts.refused(this);
				return;
			}
			this.queued.put(work.id(), attempts);
			this.works.put(work.id(), work);
			pump();
		}

		private void drop(Work work) {
			Attempts attempts = this.queued.remove(work.id());
			FakeEngine.Run run = this.runs.remove(work.id());
			this.works.remove(work.id());
			if (run != null) {
				waste(run);
				attempts.end(Outcome.UNKNOWN);
			}
			else if (attempts != null) {
				attempts.refused(this);
			}
		}

		private void waste(FakeEngine.Run run) {
			Simulation.this.wastedPromptTokens += run.promptProcessed;
		}

		private void pump() {
			this.front.takeExpired(now()).forEach(this::drop);
			for (Work work = this.front.next(now()); work != null; work = this.front.next(now())) {
				dispatch(work);
			}
			Work victim = this.front.victim(now());
			if (victim != null) {
				FakeEngine.Run run = this.runs.get(victim.id());
				this.engine.cancel(run);
				this.front.preempted(this.works.get(victim.id()), now());
				pump();
			}
		}

		private void dispatch(Work work) {
			Attempts attempts = this.queued.get(work.id());
			if (this.engine.lost()) {
				this.front.leaving();
				this.front.finished(work.id(), now());
				drop(work);
				return;
			}
			FakeEngine.Run run = this.runs.computeIfAbsent(work.id(),
					(id) -> new FakeEngine.Run(attempts.result.request, this));
			this.engine.submit(run);
		}

		void tick() {
			if (Simulation.this.policy == MeasuredPolicy.CURRENT) {
				for (Work work : List.copyOf(this.works.values())) {
					if (now() > work.deadlineMillis()) {
						stopLate(work);
					}
				}
			}
			pump();
		}

		private void stopLate(Work work) {
			FakeEngine.Run run = this.runs.remove(work.id());
			Attempts attempts = this.queued.remove(work.id());
			this.works.remove(work.id());
			this.front.cancelQueued(work.id());
			if (run != null) {
				this.engine.cancel(run);
				this.front.finished(work.id(), now());
				waste(run);
				attempts.end(Outcome.UNKNOWN);
			}
			else {
				attempts.end(Outcome.NOT_RUN);
			}
		}

		boolean couldYield(int urgency) {
			return this.works.values().stream().filter((work) -> work.urgency() < urgency).anyMatch((work) -> {
				FakeEngine.Run run = this.runs.get(work.id());
				return run == null || run.request.kind().idempotent();
			});
		}

		private String id(FakeEngine.Run run) {
			return "r" + run.request.id();
		}

		@Override
		public void onToken(FakeEngine.Run run) {
			Attempts attempts = this.queued.get(id(run));
			if (attempts != null && attempts.result.firstTokenAt < 0) {
				attempts.result.firstTokenAt = now();
			}
			this.front.progressed(id(run), run.generated, now());
		}

		@Override
		public void onDone(FakeEngine.Run run) {
			this.runs.remove(id(run));
			this.works.remove(id(run));
			Attempts attempts = this.queued.remove(id(run));
			this.front.finished(id(run), now());
			if (attempts != null) {
				if (now() > run.request.deadlineMillis()) {
					waste(run);
				}
				attempts.entry.onDigest(this.front.digest(now()));
				attempts.end(Outcome.ANSWERED);
			}
			pump();
		}

		@Override
		public void onBroken(FakeEngine.Run run) {
			this.runs.remove(id(run));
			this.works.remove(id(run));
			this.front.leaving();
			Attempts attempts = this.queued.remove(id(run));
			this.front.finished(id(run), now());
			waste(run);
			if (attempts != null) {
				attempts.entry.onDigest(this.front.digest(now()));
				attempts.broken();
			}
		}

	}

}
