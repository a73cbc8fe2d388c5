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
 * Discrete-event simulation of the requests of a workload under a policy. Entry hosts
 * select engines by periodic digests or load reports, which may be out of date. Not safe
 * for use by several threads.
 */
final class WorkloadSimulation {

	private static final int ENTRY_HOSTS = 6;

	private static final int MAX_ATTEMPTS = 3;

	private static final double RETRY_BUDGET_RATIO = 0.1;

	private static final long TICK_INTERVAL_MILLIS = 20;

	private static final long DRAIN_MILLIS = 90_000;

	private static final long LOAD_REPORT_INTERVAL_MILLIS = 1000;

	private static final int BYTES_PER_TOKEN = 4;

	private final EventQueue clock = new EventQueue();

	private final MeasuredPolicy policy;

	private final Workload workload;

	private final List<EngineOwner> owners = new ArrayList<>();

	private final List<EntryHost> entryHosts = new ArrayList<>();

	private final List<RequestResult> results = new ArrayList<>();

	private List<Integer> reportedOutstanding = new ArrayList<>();

	private int routedRequests;

	private int protectedShed;

	private long wastedPromptTokens;

	WorkloadSimulation(Workload workload, MeasuredPolicy policy, long seed) {
		this.workload = workload;
		this.policy = policy;
		List<EngineModel> models = workload.engines();
		for (int i = 0; i < models.size(); i++) {
			this.owners.add(new EngineOwner(new SimulatedEngine("engine-" + i, models.get(i), this.clock)));
			this.reportedOutstanding.add(0);
		}
		SplittableRandom seeds = new SplittableRandom(seed);
		for (int i = 0; i < ENTRY_HOSTS; i++) {
			this.entryHosts.add(new EntryHost(seeds.split()));
		}
	}

	SimulationReport run(List<Request> requests) {
		for (Request request : requests) {
			RequestResult result = new RequestResult(request);
			this.results.add(result);
			this.clock.schedule(request.arrivalMillis(), () -> arrive(result));
		}
		this.workload.injectFaults(this.owners.stream().map((owner) -> owner.engine).toList(), this.clock);
		scheduleRepeating(TICK_INTERVAL_MILLIS, () -> this.owners.forEach(EngineOwner::tick));
		scheduleRepeating(this.workload.digestIntervalMillis(), this::publishDigests);
		scheduleRepeating(LOAD_REPORT_INTERVAL_MILLIS, this::publishOutstandingCounts);
		publishDigests();
		this.clock.runUntil(Workload.END_MILLIS + DRAIN_MILLIS);
		long promptTokens = this.owners.stream().mapToLong((owner) -> owner.engine.processedPromptTokens()).sum();
		return new SimulationReport(this.results, promptTokens, this.wastedPromptTokens, this.protectedShed);
	}

	private void scheduleRepeating(long intervalMillis, Runnable action) {
		this.clock.schedule(intervalMillis, () -> {
			action.run();
			if (this.clock.now() < Workload.END_MILLIS + DRAIN_MILLIS) {
				scheduleRepeating(intervalMillis, action);
			}
		});
	}

	private void publishDigests() {
		if (this.policy == MeasuredPolicy.CURRENT) {
			List<EndpointDigest> digests = this.owners.stream()
				.map((owner) -> owner.dispatcher.digest(this.clock.now()))
				.toList();
			for (EndpointDigest digest : digests) {
				this.owners.forEach((owner) -> owner.dispatcher.updateRemoteUrgencyFloor(digest.endpoint(),
						digest.yieldBelow(), this.clock.now()));
				this.entryHosts.forEach((entry) -> entry.onDigest(digest));
			}
		}
	}

	private void publishOutstandingCounts() {
		List<Integer> counts = this.owners.stream()
			.map((owner) -> owner.engine.outstanding() + owner.dispatcher.queued().size())
			.toList();
		this.reportedOutstanding = new ArrayList<>(counts);
	}

	private void arrive(RequestResult result) {
		EntryHost entryHost = this.entryHosts.get(result.request.id() % ENTRY_HOSTS);
		if (this.policy == MeasuredPolicy.CURRENT) {
			new RequestAttempts(entryHost, result).dispatchNext();
			return;
		}
		int index = this.policy.selectEngine(this.reportedOutstanding, this.routedRequests++);
		this.reportedOutstanding.set(index, this.reportedOutstanding.get(index) + 1);
		RequestAttempts attempts = new RequestAttempts(entryHost, result);
		this.owners.get(index).offer(attempts, newWork(result.request, entryHost));
	}

	private Work newWork(Request request, EntryHost entryHost) {
		int expectedTokens = entryHost.outputLengths.expectedTokens(request.kind().name(), request.organisation(),
				request.kind().outputTokens());
		return new Work("r" + request.id(), request.kind().urgency(), request.kind().name(), 1, request.organisation(),
				1, request.kind().pressure(), request.promptTokens(), request.prefixHash(), request.prefixTokens(),
				expectedTokens, request.promptTokens() * BYTES_PER_TOKEN, request.arrivalMillis(),
				request.deadlineMillis());
	}

	/**
	 * Returns whether an available engine has less urgent work that is queued or may be
	 * preempted.
	 * @param urgency urgency to compare with
	 * @return true if there is such work
	 */
	private boolean hasLessUrgentWork(int urgency) {
		return this.owners.stream()
			.filter((owner) -> !owner.engine.failed())
			.anyMatch((owner) -> owner.hasPreemptibleWork(urgency));
	}

	/**
	 * Entry host with its cached digests of the engines and its retry budget.
	 */
	private final class EntryHost {

		private final SplittableRandom random;

		private final OutputLengthEstimator outputLengths = new OutputLengthEstimator();

		private final RetryBudget retryBudget = new RetryBudget(RETRY_BUDGET_RATIO);

		private final Map<String, EndpointLoadView> views = new HashMap<>();

		private final List<EndpointLoadBalancer.Candidate> candidates = new ArrayList<>();

		EntryHost(SplittableRandom random) {
			this.random = random;
			for (EngineOwner owner : WorkloadSimulation.this.owners) {
				EndpointLoadView view = new EndpointLoadView(owner.engine.id());
				this.views.put(owner.engine.id(), view);
				this.candidates.add(new EndpointLoadBalancer.Candidate(view, true));
			}
		}

		void onDigest(EndpointDigest digest) {
			this.views.get(digest.endpoint()).onDigest(digest, WorkloadSimulation.this.clock.now());
		}

	}

	/**
	 * Attempts to answer one request. With the current policy, rejections and failed
	 * engines lead to further attempts at other engines.
	 */
	private final class RequestAttempts {

		private final EntryHost entryHost;

		private final RequestResult result;

		private final Set<String> rejectedBy = new HashSet<>();

		private int dispatches;

		private int rejections;

		RequestAttempts(EntryHost entryHost, RequestResult result) {
			this.entryHost = entryHost;
			this.result = result;
		}

		void dispatchNext() {
			long now = WorkloadSimulation.this.clock.now();
			Work work = newWork(this.result.request, this.entryHost);
			boolean mayTry = EndpointRouter.mayTryAnother(work, this.rejections, MAX_ATTEMPTS);
			EndpointLoadBalancer.Candidate chosen = (mayTry && now < work.deadlineMillis()) ? EndpointRouter
				.select(this.entryHost.candidates, this.rejectedBy, work, this.entryHost.random, now) : null;
			if (chosen == null) {
				end(Outcome.NOT_RUN);
				return;
			}
			this.dispatches++;
			chosen.view().onDispatched(work);
			for (EngineOwner owner : WorkloadSimulation.this.owners) {
				if (owner.engine.id().equals(chosen.view().id())) {
					owner.offer(this, work);
				}
			}
		}

		void onRejected(EngineOwner owner) {
			this.rejectedBy.add(owner.engine.id());
			this.rejections++;
			this.entryHost.onDigest(owner.dispatcher.digest(WorkloadSimulation.this.clock.now()));
			if (WorkloadSimulation.this.policy == MeasuredPolicy.CURRENT) {
				dispatchNext();
			}
			else {
				end(Outcome.NOT_RUN);
			}
		}

		void onEngineFailed() {
			boolean retry = WorkloadSimulation.this.policy == MeasuredPolicy.CURRENT
					&& this.result.request.kind().idempotent() && this.dispatches < MAX_ATTEMPTS
					&& this.entryHost.retryBudget.tryRetry();
			if (retry) {
				dispatchNext();
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
			this.result.endedAt = WorkloadSimulation.this.clock.now();
			if (outcome == Outcome.ANSWERED) {
				this.entryHost.retryBudget.onSuccess();
				this.entryHost.outputLengths.onFinished(this.result.request.kind().name(),
						this.result.request.organisation(), this.result.request.outputTokens());
			}
			boolean shed = outcome == Outcome.NOT_RUN
					&& this.result.request.kind().pressure() == PressurePolicy.PROTECT;
			if (shed && hasLessUrgentWork(this.result.request.kind().urgency())) {
				WorkloadSimulation.this.protectedShed++;
			}
		}

	}

	/**
	 * Owner host of an engine. Dispatches the queued work and records its results.
	 */
	private final class EngineOwner implements SimulatedEngine.Listener {

		private final SimulatedEngine engine;

		private final EngineDispatcher dispatcher;

		private final Map<String, RequestAttempts> attemptsById = new HashMap<>();

		private final Map<String, SimulatedEngine.Run> runsById = new HashMap<>();

		private final Map<String, Work> workById = new HashMap<>();

		EngineOwner(SimulatedEngine engine) {
			this.engine = engine;
			this.dispatcher = WorkloadSimulation.this.policy.newDispatcher(engine);
		}

		private long now() {
			return WorkloadSimulation.this.clock.now();
		}

		void offer(RequestAttempts attempts, Work work) {
			OfferResult offer = this.dispatcher.offer(work, now());
			offer.shedWork().forEach(this::onShed);
			if (!offer.accepted()) {
				attempts.onRejected(this);
				return;
			}
			this.attemptsById.put(work.id(), attempts);
			this.workById.put(work.id(), work);
			dispatchReady();
		}

		/**
		 * Ends work that was shed or is due at a failed engine. A run that was dispatched
		 * before ends with an unknown outcome, and work that was never dispatched is
		 * rejected.
		 * @param work the removed work
		 */
		private void onShed(Work work) {
			RequestAttempts attempts = this.attemptsById.remove(work.id());
			SimulatedEngine.Run run = this.runsById.remove(work.id());
			this.workById.remove(work.id());
			if (run != null) {
				addWastedPrefill(run);
				attempts.end(Outcome.UNKNOWN);
			}
			else if (attempts != null) {
				attempts.onRejected(this);
			}
		}

		private void addWastedPrefill(SimulatedEngine.Run run) {
			WorkloadSimulation.this.wastedPromptTokens += run.processedPromptTokens;
		}

		private void dispatchReady() {
			this.dispatcher.takeShedWork(now()).forEach(this::onShed);
			for (Work work = this.dispatcher.next(now()); work != null; work = this.dispatcher.next(now())) {
				dispatch(work);
			}
			Work victim = this.dispatcher.selectPreemptionVictim(now());
			if (victim != null) {
				SimulatedEngine.Run run = this.runsById.get(victim.id());
				this.engine.cancel(run);
				this.dispatcher.preempted(this.workById.get(victim.id()), now());
				dispatchReady();
			}
		}

		private void dispatch(Work work) {
			RequestAttempts attempts = this.attemptsById.get(work.id());
			if (this.engine.failed()) {
				this.dispatcher.startDraining();
				this.dispatcher.finished(work.id(), now());
				onShed(work);
				return;
			}
			SimulatedEngine.Run run = this.runsById.computeIfAbsent(work.id(),
					(id) -> new SimulatedEngine.Run(attempts.result.request, this));
			this.engine.submit(run);
		}

		void tick() {
			if (WorkloadSimulation.this.policy == MeasuredPolicy.CURRENT) {
				for (Work work : List.copyOf(this.workById.values())) {
					if (now() > work.deadlineMillis()) {
						cancelExpired(work);
					}
				}
			}
			dispatchReady();
		}

		private void cancelExpired(Work work) {
			SimulatedEngine.Run run = this.runsById.remove(work.id());
			RequestAttempts attempts = this.attemptsById.remove(work.id());
			this.workById.remove(work.id());
			this.dispatcher.cancelQueued(work.id());
			if (run != null) {
				this.engine.cancel(run);
				this.dispatcher.finished(work.id(), now());
				addWastedPrefill(run);
				attempts.end(Outcome.UNKNOWN);
			}
			else {
				attempts.end(Outcome.NOT_RUN);
			}
		}

		/**
		 * Returns whether the engine has less urgent work that is queued or may be
		 * repeated.
		 * @param urgency urgency to compare with
		 * @return true if there is such work
		 */
		boolean hasPreemptibleWork(int urgency) {
			return this.workById.values().stream().filter((work) -> work.urgency() < urgency).anyMatch((work) -> {
				SimulatedEngine.Run run = this.runsById.get(work.id());
				return run == null || run.request.kind().idempotent();
			});
		}

		private String workId(SimulatedEngine.Run run) {
			return "r" + run.request.id();
		}

		@Override
		public void onToken(SimulatedEngine.Run run) {
			RequestAttempts attempts = this.attemptsById.get(workId(run));
			if (attempts != null && attempts.result.firstTokenAt < 0) {
				attempts.result.firstTokenAt = now();
			}
			this.dispatcher.progressed(workId(run), run.generatedTokens, now());
		}

		@Override
		public void onDone(SimulatedEngine.Run run) {
			this.runsById.remove(workId(run));
			this.workById.remove(workId(run));
			RequestAttempts attempts = this.attemptsById.remove(workId(run));
			this.dispatcher.finished(workId(run), now());
			if (attempts != null) {
				if (now() > run.request.deadlineMillis()) {
					addWastedPrefill(run);
				}
				attempts.entryHost.onDigest(this.dispatcher.digest(now()));
				attempts.end(Outcome.ANSWERED);
			}
			dispatchReady();
		}

		@Override
		public void onEngineFailed(SimulatedEngine.Run run) {
			this.runsById.remove(workId(run));
			this.workById.remove(workId(run));
			this.dispatcher.startDraining();
			RequestAttempts attempts = this.attemptsById.remove(workId(run));
			this.dispatcher.finished(workId(run), now());
			addWastedPrefill(run);
			if (attempts != null) {
				attempts.entryHost.onDigest(this.dispatcher.digest(now()));
				attempts.onEngineFailed();
			}
		}

	}

}
