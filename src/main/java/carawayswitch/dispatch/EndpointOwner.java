package carawayswitch.dispatch;

import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.activej.reactor.nio.NioReactor;
import io.github.resilience4j.circuitbreaker.CircuitBreaker;
import io.github.resilience4j.circuitbreaker.CircuitBreakerConfig;

import carawayswitch.config.ConfigurationHolder;
import carawayswitch.config.ConfigurationState;
import carawayswitch.config.Endpoint;
import carawayswitch.config.EntityKind;
import carawayswitch.config.Profile;
import carawayswitch.endpoint.AnswerListener;
import carawayswitch.endpoint.EndpointAdapter;
import carawayswitch.endpoint.EndpointCall;
import carawayswitch.log.LogEvent;
import carawayswitch.message.EndpointDigest;
import carawayswitch.message.ForwardRequest;
import carawayswitch.outcome.ErrorKind;
import carawayswitch.schedule.EndpointScheduler;
import carawayswitch.schedule.OfferResult;
import carawayswitch.schedule.OutputLengthEstimator;
import carawayswitch.schedule.Work;
import carawayswitch.schedule.WorkFactory;

/**
 * Queues and dispatches the attempts of one endpoint. A circuit breaker rejects attempts
 * while the endpoint fails. Confined to the thread of its event loop, except
 * {@link #digest} and {@link #inFlight}, which any thread may read.
 */
final class EndpointOwner {

	private static final int HTTP_OK = 200;

	private static final long TICK_MILLIS = 20;

	/** Time in milliseconds for which the open circuit breaker rejects attempts. */
	private static final long BREAKER_OPEN_MILLIS = 1000;

	private static final CircuitBreakerConfig BREAKER_CONFIG = CircuitBreakerConfig.custom()
		.slidingWindowSize(20)
		.minimumNumberOfCalls(5)
		.failureRateThreshold(50)
		.waitDurationInOpenState(Duration.ofMillis(BREAKER_OPEN_MILLIS))
		.permittedNumberOfCallsInHalfOpenState(2)
		.build();

	private final NioReactor reactor;

	private final String id;

	private final EndpointAdapter adapter;

	private final EndpointScheduler scheduler;

	private final ConfigurationHolder configuration;

	private final OutputLengthEstimator lengthEstimator = new OutputLengthEstimator();

	private final Map<String, Attempt> attempts = new HashMap<>();

	private final CircuitBreaker breaker;

	private final boolean engine;

	private volatile EndpointDigest digest;

	private volatile int inFlight;

	private boolean closed;

	private long lastFailureMillis;

	EndpointOwner(NioReactor reactor, String id, Endpoint endpoint, boolean engine,
			EndpointScheduler.QueueLimits queueLimits, EndpointAdapter adapter, ConfigurationHolder configuration) {
		this.reactor = reactor;
		this.id = id;
		this.adapter = adapter;
		this.engine = engine;
		this.configuration = configuration;
		this.scheduler = new EndpointScheduler(id, endpoint, engine, queueLimits);
		this.breaker = CircuitBreaker.of(id, BREAKER_CONFIG);
		this.digest = this.scheduler.digest(0);
	}

	void start() {
		this.reactor.delayBackground(TICK_MILLIS, () -> {
			if (!this.closed) {
				endOverdueAttempts(this.reactor.currentTimeMillis());
				halfOpenBreakerWhenDue(this.reactor.currentTimeMillis());
				processQueue();
				start();
			}
		});
	}

	void close() {
		this.closed = true;
	}

	EndpointDigest digest() {
		return this.digest;
	}

	int inFlight() {
		return this.inFlight;
	}

	void submit(ForwardRequest request, ReplySink sink) {
		long now = this.reactor.currentTimeMillis();
		ConfigurationState state = this.configuration.state();
		String attemptId = Attempt.id(request.requestId(), request.attempt());
		Profile profile = state.find(Profile.class, EntityKind.PROFILE, request.profile()).getOrNull();
		Work work = WorkFactory.create(request, attemptId, state, this.lengthEstimator, now);
		Attempt attempt = new Attempt(request, profile, work, sink);
		if (work == null) {
			reject(attempt, ErrorKind.UNKNOWN_PROFILE, 0);
			return;
		}
		if (this.attempts.containsKey(attemptId)) {
			return;
		}
		if (!this.breaker.tryAcquirePermission()) {
			reject(attempt, ErrorKind.ENDPOINT_UNREACHABLE, BREAKER_OPEN_MILLIS);
			return;
		}
		OfferResult offer = this.scheduler.offer(work, now);
		offer.shedWork().forEach((dropped) -> dropQueued(dropped, ErrorKind.OVERLOADED));
		if (!offer.accepted()) {
			this.breaker.releasePermission();
			reject(attempt, offer.rejectionReason(), offer.retryAfterMillis());
			return;
		}
		this.attempts.put(attemptId, attempt);
		processQueue();
	}

	private void reject(Attempt attempt, ErrorKind kind, long retryAfterMillis) {
		EndpointDigest current = refreshDigest();
		attempt.state.close().forEach((proof) -> attempt.endNotRun(proof, kind, retryAfterMillis, current));
	}

	private void dropQueued(Work work, ErrorKind kind) {
		Attempt attempt = this.attempts.remove(work.id());
		if (attempt == null) {
			return;
		}
		this.breaker.releasePermission();
		if (attempt.state.writeBegun()) {
			attempt.endUnknown(ErrorKind.STREAM_BROKEN, refreshDigest());
		}
		else {
			reject(attempt, kind, 0);
		}
	}

	/**
	 * Cancels an attempt. A dispatched attempt is ended only if its profile is idempotent
	 * or the endpoint is an engine; otherwise it continues.
	 * @param requestId id of the request
	 * @param attemptNumber number of the attempt
	 * @return true if the attempt was not dispatched and never will be
	 */
	boolean cancel(String requestId, int attemptNumber) {
		String attemptId = Attempt.id(requestId, attemptNumber);
		Attempt attempt = this.attempts.get(attemptId);
		if (attempt == null) {
			return false;
		}
		boolean neverDispatched = attempt.state.close().isDefined();
		if (neverDispatched) {
			this.scheduler.cancelQueued(attemptId);
			this.attempts.remove(attemptId);
			this.breaker.releasePermission();
			attempt.state.close()
				.forEach((proof) -> attempt.endNotRun(proof, ErrorKind.CALLER_GONE, 0, refreshDigest()));
		}
		else if (attempt.profile.idempotent() || this.engine) {
			this.scheduler.cancelQueued(attemptId);
			this.adapter.cancel(attemptId);
			this.breaker.releasePermission();
			finish(attempt);
			attempt.endUnknown(ErrorKind.CALLER_GONE, refreshDigest());
			processQueue();
		}
		return neverDispatched;
	}

	/**
	 * Makes less urgent work yield to protected work that is at risk at another endpoint.
	 * @param endpoint id of the other endpoint
	 * @param floor urgency below which work yields, or 0 if no work at the other endpoint
	 * is at risk
	 * @param now time in milliseconds
	 */
	void updateRemoteUrgencyFloor(String endpoint, int floor, long now) {
		this.scheduler.updateRemoteUrgencyFloor(endpoint, floor, now);
	}

	private void processQueue() {
		long now = this.reactor.currentTimeMillis();
		this.scheduler.takeShedWork(now).forEach((work) -> dropQueued(work, ErrorKind.DEADLINE_CANNOT_BE_MET));
		for (Work work = this.scheduler.next(now); work != null; work = this.scheduler.next(now)) {
			dispatch(this.attempts.get(work.id()));
		}
		Work victim = this.scheduler.selectPreemptionVictim(now);
		if (victim != null) {
			preempt(this.attempts.get(victim.id()));
		}
		refreshDigest();
	}

	private void endOverdueAttempts(long now) {
		List<Attempt> overdue = this.attempts.values()
			.stream()
			.filter((attempt) -> now > attempt.work.deadlineMillis())
			.toList();
		for (Attempt attempt : overdue) {
			if (attempt.state.writeBegun()) {
				endOverdueRun(attempt);
			}
			else {
				this.scheduler.cancelQueued(attempt.id());
				dropQueued(attempt.work, ErrorKind.DEADLINE_CANNOT_BE_MET);
			}
		}
	}

	private void endOverdueRun(Attempt attempt) {
		if (this.engine) {
			this.adapter.cancel(attempt.id());
		}
		if (attempt.receivedTokens == 0) {
			recordFailure("no answer before the deadline");
		}
		else {
			this.breaker.releasePermission();
		}
		this.scheduler.cancelQueued(attempt.id());
		finish(attempt);
		attempt.endUnknown(ErrorKind.DEADLINE_EXCEEDED, refreshDigest());
	}

	private void halfOpenBreakerWhenDue(long now) {
		if (this.breaker.getState() == CircuitBreaker.State.OPEN
				&& now - this.lastFailureMillis >= BREAKER_OPEN_MILLIS) {
			this.breaker.transitionToHalfOpenState();
		}
	}

	private void recordFailure(String reason) {
		this.lastFailureMillis = this.reactor.currentTimeMillis();
		this.breaker.onError(0, TimeUnit.MILLISECONDS, new IOException(reason));
	}

	private void dispatch(Attempt attempt) {
		if (attempt == null) {
			return;
		}
		RunListener listener = new RunListener(attempt, ++attempt.runNumber);
		if (attempt.state.writeBegun()) {
			attempt.resumedAtTokens = attempt.receivedTokens;
			this.adapter.resume(attempt.id(), attempt.receivedTokens, listener);
		}
		else if (attempt.state.beginWrite()) {
			ForwardRequest request = attempt.request;
			this.adapter.send(new EndpointCall(attempt.id(), request.method(), request.path(), request.contentType(),
					request.body(), request.idempotencyKey(), attempt.profile.idempotent()), listener);
		}
	}

	private void preempt(Attempt attempt) {
		if (attempt != null) {
			attempt.preempting = true;
			LogEvent.WORK_PREEMPTED.log("request", attempt.id(), "endpoint", this.id, "tokens", attempt.receivedTokens);
			this.adapter.cancel(attempt.id());
		}
	}

	private void finish(Attempt attempt) {
		attempt.runNumber++;
		this.attempts.remove(attempt.id());
		int received = this.scheduler.onEnded(attempt.id(), this.reactor.currentTimeMillis());
		if (received > 0) {
			this.lengthEstimator.onFinished(attempt.request.profile(), attempt.request.organisation(),
					attempt.receivedTokens);
		}
	}

	private EndpointDigest refreshDigest() {
		this.inFlight = this.attempts.size();
		EndpointDigest current = this.scheduler.digest(this.reactor.currentTimeMillis());
		boolean breakerOpen = this.breaker.getState() == CircuitBreaker.State.OPEN;
		this.digest = breakerOpen ? new EndpointDigest(current.endpoint(), current.queuedMillis(), current.running(),
				current.lowestUrgency(), current.limit(), true, current.millisPerToken(),
				current.prefillMillisPerToken(), current.yieldBelow()) : current;
		return this.digest;
	}

	void leaving(boolean leaving) {
		this.scheduler.draining(leaving);
		refreshDigest();
	}

	void rejectQueued() {
		this.scheduler.queued().forEach((work) -> {
			this.scheduler.cancelQueued(work.id());
			dropQueued(work, ErrorKind.HOST_STOPPING);
		});
	}

	/**
	 * Receives the answer to one run of an attempt. Each dispatch, preemption or end of
	 * the attempt starts a new run number; callbacks of earlier runs are ignored.
	 */
	private final class RunListener implements AnswerListener {

		private final Attempt attempt;

		private final int runNumber;

		private boolean resumeRejected;

		RunListener(Attempt attempt, int runNumber) {
			this.attempt = attempt;
			this.runNumber = runNumber;
		}

		private boolean stale() {
			return this.runNumber != this.attempt.runNumber;
		}

		@Override
		public void onHead(int status, String contentType) {
			boolean resuming = this.attempt.resumedAtTokens >= 0;
			this.resumeRejected = resuming && status != HTTP_OK;
			if (!stale() && !resuming) {
				this.attempt.sendHead(status, contentType);
			}
		}

		@Override
		public void onBody(byte[] body, int tokens) {
			if (stale() || this.resumeRejected) {
				return;
			}
			this.attempt.receivedTokens += tokens;
			EndpointOwner.this.scheduler.onProgress(this.attempt.id(), this.attempt.receivedTokens,
					EndpointOwner.this.reactor.currentTimeMillis());
			this.attempt.sendChunk(body);
		}

		@Override
		public void onComplete() {
			if (stale()) {
				return;
			}
			if (this.resumeRejected) {
				onInterrupted("the engine refused to resume the answer");
				return;
			}
			EndpointOwner.this.breaker.onSuccess(0, TimeUnit.MILLISECONDS);
			finish(this.attempt);
			this.attempt.endAnswered(refreshDigest());
			processQueue();
		}

		@Override
		public void onInterrupted(String reason) {
			if (stale()) {
				return;
			}
			if (this.attempt.preempting) {
				requeue();
				return;
			}
			recordFailure(reason);
			if (EndpointOwner.this.adapter.resumable() && this.attempt.receivedTokens > this.attempt.resumedAtTokens) {
				dispatch(this.attempt);
				return;
			}
			finish(this.attempt);
			ErrorKind kind = (this.attempt.receivedTokens > 0) ? ErrorKind.STREAM_BROKEN : ErrorKind.CONNECTION_LOST;
			this.attempt.endUnknown(kind, refreshDigest());
			processQueue();
		}

		private void requeue() {
			this.attempt.preempting = false;
			this.attempt.runNumber++;
			long now = EndpointOwner.this.reactor.currentTimeMillis();
			EndpointOwner.this.scheduler.onPreempted(this.attempt.id(), this.attempt.work, now);
			processQueue();
		}

		@Override
		public void onNeverSent(String reason) {
			if (stale()) {
				return;
			}
			recordFailure(reason);
			boolean neverResumed = this.attempt.resumedAtTokens < 0;
			finish(this.attempt);
			if (neverResumed) {
				this.attempt.endNotRun(this.attempt.state.connectionNeverEstablished(), ErrorKind.ENDPOINT_UNREACHABLE,
						0, refreshDigest());
			}
			else {
				this.attempt.endUnknown(ErrorKind.STREAM_BROKEN, refreshDigest());
			}
			processQueue();
		}

	}

}
