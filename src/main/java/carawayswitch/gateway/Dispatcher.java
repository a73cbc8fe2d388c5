package carawayswitch.gateway;

import java.util.function.LongConsumer;

import carawayswitch.http.OutgoingRequest;
import carawayswitch.log.LogEvent;
import carawayswitch.message.PlaceRequest;
import carawayswitch.metrics.Metric;
import carawayswitch.outcome.ErrorKind;
import carawayswitch.route.EndpointEntry;
import carawayswitch.route.Recording;
import carawayswitch.route.RequestKind;
import carawayswitch.route.Route;
import carawayswitch.route.StreamOrigin;
import carawayswitch.schedule.AttemptResult;
import carawayswitch.time.CheckAfterInput;

/**
 * Sends the request of one exchange to endpoints of a service, one after another.
 * Invariants:
 * <ul>
 * <li>A non-repeatable request is sent to another endpoint only if it is proved that no
 * endpoint has run it.</li>
 * <li>A stream goes on only at the version that began it.</li>
 * <li>One attempt at a time is in progress. A silent one is ended only when another
 * endpoint takes the request over.</li>
 * </ul>
 * Confined to the event loop thread.
 */
final class Dispatcher {

	/**
	 * Retry time in milliseconds sent when no endpoint is available; endpoint entries
	 * return within a second.
	 */
	static final long NO_ENDPOINT_RETRY_MILLIS = 500;

	/** Largest number of dispatches of a request that no endpoint has run. */
	private static final int MAX_DISPATCHES = 4;

	private final GatewayContext context;

	private final Exchange exchange;

	private final AdmittedRequest admitted;

	private final ClientResponse response;

	private final ExchangeTasks tasks;

	private final String service;

	private final EndpointChoice choice;

	private final EndpointRequests endpointRequests;

	/** Place that is requested, or granted for the next attempt. */
	private Placement placement;

	private EndpointAttempt currentAttempt;

	/** Name of the attempt that is prepared; each place request has another one. */
	private String attemptName;

	private int preparedAttempts;

	/** Whether another endpoint is looked for while the current attempt goes on. */
	private boolean replacing;

	private int dispatches;

	/** Wait for room for the body at an endpoint; null if the body has not waited. */
	private BodyRoomWait roomWait;

	/** Number of attempts before the latest one that may have run. */
	private int possibleRuns;

	/** Whether the latest attempt may have run, also after its end. */
	private boolean latestMayHaveRun;

	Dispatcher(GatewayContext context, Exchange exchange, AdmittedRequest admitted, ClientResponse response,
			ExchangeTasks tasks, String service, String version) {
		this.context = context;
		this.exchange = exchange;
		this.admitted = admitted;
		this.response = response;
		this.tasks = tasks;
		this.service = service;
		this.choice = new EndpointChoice(context, admitted, service, version);
		this.endpointRequests = new EndpointRequests(context.headerCodec, admitted);
	}

	void start(long now) {
		this.context.retryBudget(this.service).onRequest(now);
		this.context.rollouts.onRequest(this.service);
		dispatch(now);
	}

	private Route route() {
		return this.admitted.route();
	}

	private RequestMetadata metadata() {
		return this.admitted.metadata();
	}

	private void dispatch(long now) {
		if (this.placement != null) {
			// A place that was requested to replace the attempt serves as well.
			return;
		}
		this.attemptName = metadata().attemptId() + '#' + this.preparedAttempts++;
		if (quarantinedMillis(now) > 0) {
			refuse(ErrorKind.PROMPT_QUARANTINED, quarantinedMillis(now), "prompt_quarantined");
		}
		else if (this.choice.candidates(now).isEmpty()) {
			refuse(ErrorKind.NO_ENDPOINT, this.choice.retryAfterMillis(now), "no working endpoint of " + this.choice);
		}
		else if (this.choice.needsPlace()) {
			requestPlace(now);
		}
		else {
			sendWithoutPlace(now);
		}
	}

	// Ends the request, unless an attempt is in progress whose answer may still come.
	private void refuse(ErrorKind kind, long retryAfterMillis, String reason) {
		if (this.currentAttempt == null) {
			this.exchange.fail(kind, retryAfterMillis, reason);
		}
	}

	private long quarantinedMillis(long now) {
		return this.context.quarantine.rejectedMillis(this.admitted.crashCandidates(), now);
	}

	private void sendWithoutPlace(long now) {
		if (!this.choice.bodyFits(now)) {
			waitForRoom(now, this::sendWithoutPlace);
			return;
		}
		long limitWait = this.choice.limitWaitMillis(now);
		if (limitWait > 0) {
			refuse(ErrorKind.ENDPOINTS_LIMITED, limitWait, "endpoint_limits");
			return;
		}
		afterPendingDisconnects(this::sendToChosen);
	}

	// The cap is charged once there is room for the body, since a charge is not refunded.
	private long takeCapUnits(long now) {
		int units = (this.dispatches > 0) ? 0 : this.admitted.capUnits();
		return (units > 0) ? this.context.placements.takeCapUnits(this.admitted.organisationName(), units, now) : 0;
	}

	private void sendToChosen(long now) {
		if (!this.choice.bodyFits(now)) {
			waitForRoom(now, this::sendToChosen);
		}
		else if (!refusedAsLate(now) && mayTakeOver(now)) {
			if (this.roomWait != null) {
				this.roomWait.onRoom();
			}
			long capWait = takeCapUnits(now);
			if (capWait > 0) {
				refuse(ErrorKind.ORGANISATION_LIMIT, capWait, "cap");
			}
			else {
				send(this.choice.choose(this.attemptName, now), now);
			}
		}
	}

	private void waitForRoom(long now, LongConsumer action) {
		if (this.roomWait == null) {
			this.roomWait = new BodyRoomWait(this.context, this.admitted, this.tasks, this.service, this.choice,
					() -> !this.exchange.finished() && (this.currentAttempt == null || this.replacing));
		}
		if (!this.roomWait.tryWait(now, action)) {
			refuse(ErrorKind.ENDPOINTS_FULL, NO_ENDPOINT_RETRY_MILLIS, "endpoint_bodies");
		}
	}

	private void requestPlace(long now) {
		PlaceRequest placeRequest = this.choice.placeRequest(this.attemptName, this.response, this.dispatches == 0,
				now);
		this.placement = this.context.placements.requestPlace(placeRequest, this.tasks.guarded(new PlaceListener()),
				now);
	}

	// Acts after the connection of the client has handled its input, and reads a
	// disconnect that arrives meanwhile, since a turn of the event loop may be long.
	private void afterPendingDisconnects(LongConsumer action) {
		this.tasks.postNext(() -> {
			this.response.readPendingDisconnect();
			if (!this.exchange.finished()) {
				action.accept(Clocks.monotonicMillis());
			}
		});
	}

	// Returns whether an attempt may begin now: none is in progress, or a silent one is
	// to be replaced, for which the retry budget is charged.
	private boolean mayTakeOver(long now) {
		return this.currentAttempt == null
				|| this.replacing && this.context.retryBudget(this.service).tryRetry(hostCount(), now);
	}

	// Called before a choice, which counts the request as in flight, and before budgets
	// and caps are charged.
	private boolean refusedAsLate(long now) {
		String reason = "";
		if (route().kind() == RequestKind.STREAMING
				&& now - this.response.lastEventAt() >= StreamProgress.clientWaitMillis(route())) {
			// The client has left, though its disconnect is still unread.
			reason = "the client has given up";
		}
		else if (!this.response.streamBegun() && now >= this.admitted.answerBy()) {
			reason = "no time is left for an answer";
		}
		if (reason.isEmpty()) {
			return false;
		}
		withdrawPlacement();
		refuse(expiryKind(), -1, reason);
		return true;
	}

	private void send(String endpointId, long now) {
		if (refusedAsLate(now)) {
			return;
		}
		EndpointEntry endpoint = this.choice.accepting(endpointId, now);
		if (endpoint == null) {
			withdrawPlacement();
			this.choice.onTried(String.valueOf(endpointId));
			if (++this.dispatches > MAX_DISPATCHES) {
				refuse(ErrorKind.NO_ENDPOINT, NO_ENDPOINT_RETRY_MILLIS,
						"endpoint " + endpointId + " is no longer available");
			}
			else {
				dispatch(now);
			}
			return;
		}
		if (this.currentAttempt != null) {
			this.currentAttempt.cancel(AttemptResult.LOST, "no progress within the time limit");
			countRepeat();
		}
		AttemptReporter reporter = (this.placement != null)
				? new AttemptReporter.ForEngine(this.context, this.placement, this.choice.tokensPerEvent())
				: new AttemptReporter.ForPlainService(this.context, endpoint, this.attemptName,
						this.admitted.identity());
		EndpointAttempt attempt = new EndpointAttempt(this.context, this.exchange, this, this.admitted, this.response,
				this.tasks, endpoint, this.context.rollouts.reporter(reporter, endpoint, this.admitted), now);
		this.placement = null;
		this.currentAttempt = attempt;
		this.choice.onTried(endpointId);
		this.dispatches++;
		long remaining = this.admitted.deadlineAt() - now;
		OutgoingRequest outgoing = this.endpointRequests.create(endpointId, remaining,
				this.response.events().lastEventId());
		this.latestMayHaveRun = true;
		this.context.log.write(LogEvent.ATTEMPT_SENT, "request", metadata().attemptId(), "endpoint", endpointId,
				"service", this.service, "version", endpoint.version(), "attempt", this.dispatches, "left_ms",
				remaining, "routes_version", this.context.routes.get().version(), "routes_age_ms",
				this.context.reportedConfigurationAgeMillis(), "resume_after",
				this.response.events().lastEventIdOr(metadata().lastEventId()), "resumes", metadata().resumedStream(),
				"shared_segments", String.join(",", metadata().sharedSegments()), "return_key",
				this.admitted.returnKey(), "identity", this.admitted.identity());
		attempt.start(outgoing, this.endpointRequests.options());
	}

	/**
	 * Binds the stream to the version whose first event has arrived.
	 * @param firstVersion the version
	 * @param now monotonic time in milliseconds
	 * @return whether it is to be recorded what has begun the stream, and by when
	 */
	Recording bindStream(String firstVersion, long now) {
		boolean begins = this.choice.beginsStream();
		this.choice.bindVersion(firstVersion);
		if (!begins) {
			return Recording.NONE;
		}
		Recording recording = this.context.streamOrigins.onBegun(
				new StreamOrigins.NewStream(this.admitted.streamKey(), route().name(),
						new StreamOrigin(this.service, firstVersion), this.admitted.streamLifetimeMillis(now)),
				() -> this.tasks.run(this.response::releaseEvents));
		if (recording == Recording.BEFORE_FIRST_EVENT) {
			CheckAfterInput recordLimit = this.tasks.checkAfterInput((dueAt) -> this.exchange.onRecordLimit());
			this.tasks.delay(StreamProgress.recordLimitMillis(route(), this.response.lastEventAt(),
					this.admitted.deadlineAt(), now), () -> recordLimit.request(Clocks.monotonicMillis()));
		}
		return recording;
	}

	/** Gives back what the request holds beside its attempt. Called once. */
	void onRequestEnded() {
		withdrawPlacement();
		this.choice.onRequestEnded();
	}

	/** Gives back a place that no attempt uses. */
	void withdrawPlacement() {
		if (this.placement != null) {
			this.context.placements.withdraw(this.placement);
			this.placement = null;
		}
	}

	/**
	 * Retries or fails after an attempt that has certainly not run. Attempts that did not
	 * reach an endpoint don't count against the retry budget.
	 * @param reason why the attempt has not run
	 * @param reachedEndpoint true if the endpoint has rejected the attempt
	 */
	void onNotRun(String reason, boolean reachedEndpoint) {
		this.latestMayHaveRun = false;
		long now = Clocks.monotonicMillis();
		boolean retry = this.dispatches < MAX_DISPATCHES && now < this.admitted.deadlineAt()
				&& (!reachedEndpoint || this.context.retryBudget(this.service).tryRetry(hostCount(), now));
		if (retry) {
			dispatchAfter(reachedEndpoint ? this.choice.retryPauseMillis(now) : 0, now);
		}
		else {
			this.exchange.fail(ErrorKind.ENDPOINTS_REFUSED, NO_ENDPOINT_RETRY_MILLIS, reason);
		}
	}

	private void dispatchAfter(long pauseMillis, long now) {
		if (pauseMillis == 0) {
			dispatch(now);
			return;
		}
		this.tasks.delay(pauseMillis, () -> {
			if (!this.exchange.finished()) {
				dispatch(Clocks.monotonicMillis());
			}
		});
	}

	/**
	 * Retries or fails after an attempt that may have run.
	 * @param kind kind of the error if the request cannot be repeated
	 * @param reason description of the failure
	 */
	void onMayHaveRun(ErrorKind kind, String reason) {
		long now = Clocks.monotonicMillis();
		if (tryRepeat(now)) {
			repeat(now);
		}
		else {
			this.exchange.fail(kind, -1, reason);
		}
	}

	/**
	 * Decides whether the request may be sent once more although it may already have run,
	 * and charges the retry budget if so.
	 * @param now monotonic time in milliseconds
	 * @return true if {@link #repeat} may be called
	 */
	boolean tryRepeat(long now) {
		return mayRepeat(now) && this.context.retryBudget(this.service).tryRetry(hostCount(), now);
	}

	private boolean mayRepeat(long now) {
		return route().repeatable() && this.possibleRuns + 1 < route().maxAttempts() && now < this.admitted.deadlineAt()
				&& quarantinedMillis(now) == 0 && !this.choice.candidates(now).isEmpty()
				&& this.choice.limitWaitMillis(now) == 0;
	}

	void repeat(long now) {
		countRepeat();
		dispatch(now);
	}

	private void countRepeat() {
		this.latestMayHaveRun = false;
		this.possibleRuns++;
		this.response.events().discardIncompleteEvent();
		this.context.metrics.add(Metric.RETRIES, 1, "service", this.service);
	}

	/**
	 * Looks for an endpoint that takes the request over from a silent attempt. The
	 * attempt goes on until there is one, since its answer may still come.
	 * @param now monotonic time in milliseconds
	 */
	void replaceSilent(long now) {
		if (mayRepeat(now) && this.choice.mayReplaceSilent(this.response, now)) {
			this.replacing = true;
			dispatch(now);
		}
	}

	/** Stops looking for another endpoint, since the current attempt goes on. */
	void onProgress() {
		if (this.replacing) {
			this.replacing = false;
			withdrawPlacement();
		}
	}

	private int hostCount() {
		return this.context.peers.largestFleetSize();
	}

	void onAttemptEnded() {
		this.currentAttempt = null;
		this.replacing = false;
	}

	boolean isCurrent(EndpointAttempt attempt) {
		return this.currentAttempt == attempt;
	}

	/**
	 * Cancels what is in progress for the request.
	 * @param result result of the current attempt
	 */
	void cancel(AttemptResult result) {
		withdrawPlacement();
		if (this.currentAttempt != null) {
			this.currentAttempt.cancel(result, "cancelled");
		}
	}

	/**
	 * Returns the kind of the error if the time for the request is over.
	 * @return the kind, which tells whether the request may have run
	 */
	ErrorKind expiryKind() {
		return mayHaveRun() ? ErrorKind.DEADLINE_EXCEEDED : ErrorKind.TIMED_OUT_WAITING;
	}

	/**
	 * Returns whether an endpoint may have run the request or may still run it.
	 * @return false if it is proved that none has
	 */
	boolean mayHaveRun() {
		return this.possibleRuns > 0 || this.latestMayHaveRun;
	}

	/**
	 * Returns when the current attempt was sent if its endpoint has not read the whole
	 * request.
	 * @return monotonic time in milliseconds, or -1 if no request is being written
	 */
	long uploadingSince() {
		return (this.currentAttempt != null) ? this.currentAttempt.uploadingSince() : -1;
	}

	int dispatches() {
		return this.dispatches;
	}

	private final class PlaceListener implements Placement.Listener {

		@Override
		public void onGranted(String endpoint) {
			Placement granted = Dispatcher.this.placement;
			afterPendingDisconnects((sendTime) -> {
				if (Dispatcher.this.placement != granted) {
					return;
				}
				if (mayTakeOver(sendTime)) {
					send(endpoint, sendTime);
				}
				else {
					withdrawPlacement();
				}
			});
		}

		@Override
		public void onRejected(ErrorKind kind, long retryAfterMillis, String reason) {
			Dispatcher.this.placement = null;
			refuse(kind, retryAfterMillis, reason);
		}

	}

}
