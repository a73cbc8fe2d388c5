package carawayswitch.gateway;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

import io.activej.reactor.schedule.ScheduledRunnable;
import io.netty.handler.codec.http.HttpResponse;
import io.vavr.control.Either;

import carawayswitch.config.Tier;
import carawayswitch.http.ConnectionPool;
import carawayswitch.http.HttpRequestParts;
import carawayswitch.http.ReceivedRequest;
import carawayswitch.http.ResponseListener;
import carawayswitch.http.ServerConnection;
import carawayswitch.log.LogEvent;
import carawayswitch.message.PlaceRequest;
import carawayswitch.metrics.Metric;
import carawayswitch.outcome.ErrorKind;
import carawayswitch.outcome.Outcome;
import carawayswitch.route.EndpointEntry;
import carawayswitch.route.OrganisationPolicy;
import carawayswitch.route.RequestKind;
import carawayswitch.route.Route;
import carawayswitch.route.RouteTable;
import carawayswitch.route.ServicePolicy;
import carawayswitch.schedule.AttemptResult;

/**
 * One request of a client, from its arrival to the end of its answer. Invariants:
 * <ul>
 * <li>A request that may not be repeated is sent to a further endpoint only if it is
 * proved that it has not run.</li>
 * <li>An answer that promises that the request has not run is given only if no endpoint
 * may have run it or may still do so.</li>
 * <li>A stream that breaks off is never ended like a complete one.</li>
 * </ul>
 * Confined to the thread of its event loop.
 */
final class Exchange {

	/** Longest wait for a connection to an endpoint. */
	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

	/** Idle time of a connection for requests that may be repeated, in milliseconds. */
	private static final long MAX_IDLE_MILLIS = 30_000;

	/**
	 * Idle time of a connection for requests that may not be repeated, in milliseconds;
	 * endpoints close idle connections after a few seconds.
	 */
	private static final long MAX_IDLE_ONCE_MILLIS = 2000;

	/** Endpoints to which a request is sent at most while none has run it. */
	private static final int MAX_SENDS = 4;

	/** Bytes that a client has not accepted beyond which no more of an answer is read. */
	private static final long MAX_UNWRITTEN_BYTES = 256 * 1024;

	private static final long UNWRITTEN_CHECK_MILLIS = 20;

	/** Wait advised for reasons that concern this host only; others may serve at once. */
	private static final long OTHER_HOST_RETRY_MILLIS = 50;

	/** Wait advised when no endpoint is there; entries come back within a second. */
	private static final long NO_ENDPOINT_RETRY_MILLIS = 500;

	/**
	 * Clients give up a stream after this many objectives or longest pauses, or after the
	 * time below in milliseconds, whichever is longest.
	 */
	private static final int PATIENCE_OBJECTIVES = 4;

	private static final int PATIENCE_GAPS = 8;

	private static final long MIN_PATIENCE_MILLIS = 2000;

	/** Part of a client's patience that a request may wait for a place. */
	private static final double WAIT_SHARE = 0.7;

	/**
	 * Silence in milliseconds, beyond two objectives, after which an answer that may be
	 * repeated is asked for elsewhere.
	 */
	private static final long SILENCE_MILLIS = 1000;

	/**
	 * Time from the start of a stop until new long answers are refused, in milliseconds.
	 */
	private static final long STREAMS_UNTIL_MILLIS = 3000;

	/**
	 * Time before the end of a stopping process from which on short answers are refused
	 * too, in milliseconds; nearly all take less.
	 */
	private static final long LAST_REQUEST_MILLIS = 1500;

	/**
	 * Time in milliseconds for which a request waits for a host that has just started to
	 * learn its configuration; a store that answers needs less.
	 */
	private static final long START_WAIT_MILLIS = 1000;

	private static final long START_CHECK_MILLIS = 5;

	private final GatewayContext context;

	private final ServerConnection client;

	private final ReceivedRequest request;

	private final Runnable onOver;

	private final ClientAttempt attempt;

	private final Set<String> tried = new HashSet<>();

	private Route route;

	private OrganisationPolicy organisation;

	private int urgency;

	private String service;

	private ServicePolicy policy;

	private long expiresAt;

	private ScheduledRunnable expiry;

	private Placement placement;

	private Attempt current;

	private int sends;

	private int runs;

	private boolean mayHaveRun;

	private boolean headSent;

	private boolean over;

	private final EventSplitter events = new EventSplitter();

	Exchange(GatewayContext context, ServerConnection client, ReceivedRequest request, Runnable onOver) {
		this.context = context;
		this.client = client;
		this.request = request;
		this.onOver = onOver;
		this.attempt = context.wireFormat.attempt(request);
	}

	void start(long now) {
		if (!this.context.stateLoaded() && now - this.request.arrivedAt() < START_WAIT_MILLIS) {
			this.context.reactor.delay(START_CHECK_MILLIS, () -> {
				if (!this.over) {
					start(Clocks.monotonicMillis());
				}
			});
			return;
		}
		RouteTable table = this.context.routes.get();
		Either<ErrorKind, Admission.Admitted> admitted = Admission.decide(table, this.context.configurationAgeMillis(),
				this.context.bounds(), this.attempt, this.request.path());
		if (admitted.isLeft()) {
			refuse(admitted.getLeft(), retryMillis(admitted.getLeft()), "admission");
			return;
		}
		this.route = admitted.get().route();
		this.organisation = admitted.get().organisation();
		this.urgency = Math.max(0, Tier.HIGHEST_URGENCY - admitted.get().priority());
		this.service = this.route.service(this.attempt.id().hashCode());
		this.policy = table.service(this.service).orElse(null);
		long patience = (this.attempt.patienceMillis() >= 0) ? this.attempt.patienceMillis() : Long.MAX_VALUE;
		this.expiresAt = now + Math.min(this.route.timeoutMillis(), patience);
		if (this.context.stopping() && outlastsStop(now - this.context.stoppingSince)) {
			refuse(ErrorKind.HOST_STOPPING, OTHER_HOST_RETRY_MILLIS, "stopping");
			return;
		}
		this.context.retryShare(this.service).request(now);
		this.expiry = this.context.reactor.delay(Math.max(0, this.expiresAt - now), this::expire);
		place(now);
	}

	// Tells whether an answer may not be complete when the process ends.
	private boolean outlastsStop(long sinceStop) {
		long until = (this.route.kind() == RequestKind.STREAMING) ? STREAMS_UNTIL_MILLIS
				: this.context.bounds().graceMillis() - GatewayHost.EXIT_RESERVE_MILLIS - LAST_REQUEST_MILLIS;
		return sinceStop > until;
	}

	private static long retryMillis(ErrorKind kind) {
		return kind.retryable() ? OTHER_HOST_RETRY_MILLIS : -1;
	}

	private boolean engine() {
		return this.policy != null && this.policy.engine() && this.attempt.tokensStated();
	}

	private void place(long now) {
		if (this.context.endpoints.get().working(this.service).isEmpty()) {
			giveUp(ErrorKind.NO_ENDPOINT, NO_ENDPOINT_RETRY_MILLIS, "no working endpoint of " + this.service);
		}
		else if (engine()) {
			askForPlace(now);
		}
		else {
			sendWithoutPlace(now);
		}
	}

	private void sendWithoutPlace(long now) {
		int units = (this.sends > 0) ? 0 : capUnits();
		long wait = (units > 0) ? this.context.placements.useCap(organisationName(), units, now) : 0;
		if (wait > 0) {
			giveUp(ErrorKind.ORGANISATION_LIMIT, wait, "cap");
			return;
		}
		List<String> candidates = this.context.endpoints.get()
			.working(this.service)
			.stream()
			.map(EndpointEntry::id)
			.toList();
		send(this.context.plainPool(this.service)
			.choose(candidates, this.tried, placementId(), this.context.random, now), now);
	}

	private String placementId() {
		return this.attempt.id() + '#' + this.sends;
	}

	private void askForPlace(long now) {
		int expected = (this.attempt.expectedOutputTokens() > 0) ? this.attempt.expectedOutputTokens()
				: this.context.lengthEstimate.expected(this.route.name(), organisationName(),
						this.attempt.maxOutputTokens());
		long passed = now - this.request.arrivedAt();
		long patience = Math.max(MIN_PATIENCE_MILLIS, Math.max(PATIENCE_OBJECTIVES * this.route.objectiveMillis(),
				PATIENCE_GAPS * this.route.maxGapMillis()));
		long wait = Math.min((long) (patience * WAIT_SHARE) - passed, this.expiresAt - now);
		int units = (this.sends > 0) ? 0 : capUnits();
		PlaceRequest wish = new PlaceRequest(placementId(), this.service, this.urgency, this.route.name(),
				organisationName(), this.attempt.promptTokens(), Math.min(expected, this.attempt.maxOutputTokens()),
				this.route.objectiveMillis() - passed, wait, this.context.settings.get().zone(),
				List.copyOf(this.tried), units, this.expiresAt - now, returnKey());
		this.placement = this.context.placements.ask(wish, new Placement.Listener() {
			@Override
			public void onGranted(String endpoint) {
				send(endpoint, Clocks.monotonicMillis());
			}

			@Override
			public void onRefused(boolean overCap, long retryAfterMillis, String reason) {
				Exchange.this.placement = null;
				giveUp(overCap ? ErrorKind.ORGANISATION_LIMIT : ErrorKind.NO_PLACE, retryAfterMillis, reason);
			}
		}, now);
	}

	// A refused request comes back under another id: the rest of it stays the same.
	private String returnKey() {
		return Integer.toHexString(Objects.hash(this.request.target(), organisationName(), this.attempt.session(),
				this.attempt.promptTokens(), this.attempt.maxOutputTokens()));
	}

	private int capUnits() {
		OrganisationPolicy.Cap cap = (this.organisation != null) ? this.organisation.tokenCap() : null;
		if (cap == null) {
			return 0;
		}
		if (!cap.countsTokens()) {
			return 1;
		}
		return this.attempt.tokensStated() ? this.attempt.capTokens() : cap.plainTokens();
	}

	private String organisationName() {
		return (this.organisation != null) ? this.organisation.name() : "";
	}

	private void send(String endpointId, long now) {
		EndpointEntry endpoint = (endpointId != null) ? this.context.endpoints.get().workingById(endpointId) : null;
		if (endpoint == null) {
			withdrawPlacement();
			this.tried.add(String.valueOf(endpointId));
			this.sends++;
			if (this.sends > MAX_SENDS) {
				giveUp(ErrorKind.NO_ENDPOINT, NO_ENDPOINT_RETRY_MILLIS, "endpoint left: " + endpointId);
			}
			else {
				place(now);
			}
			return;
		}
		this.current = new Attempt(endpoint, now);
		this.tried.add(endpointId);
		this.sends++;
		long left = this.expiresAt - now;
		WireFormat.Forwarding forwarding = new WireFormat.Forwarding(
				(this.organisation != null) ? this.organisation.name() : null, endpointId, Math.max(1, left),
				this.events.lastId());
		this.context.log.write(LogEvent.ATTEMPT_SENT, "request", this.attempt.id(), "endpoint", endpointId, "service",
				this.service, "attempt", this.sends, "left_ms", left, "routes_version",
				this.context.routes.get().version(), "routes_age_ms", this.context.reportedConfigurationAgeMillis(),
				"resume_after", String.valueOf(this.events.lastId()));
		boolean repeatable = this.route.repeatable();
		this.current.start(
				new HttpRequestParts(this.request.method(), this.request.target(),
						this.context.wireFormat.towardsEndpoint(this.request, forwarding), this.request.body()),
				new ConnectionPool.Options(CONNECT_TIMEOUT, repeatable ? MAX_IDLE_MILLIS : MAX_IDLE_ONCE_MILLIS));
	}

	private void withdrawPlacement() {
		if (this.placement != null) {
			this.context.placements.withdraw(this.placement);
			this.placement = null;
		}
	}

	// Goes on after an attempt that has certainly not run.
	private void onNotRun(String reason, boolean arrived) {
		long now = Clocks.monotonicMillis();
		boolean allowed = this.sends < MAX_SENDS && now < this.expiresAt
				&& (!arrived || this.context.retryShare(this.service).tryRetry(hosts(), now));
		if (allowed) {
			place(now);
		}
		else {
			giveUp(ErrorKind.ENDPOINTS_REFUSED, NO_ENDPOINT_RETRY_MILLIS, reason);
		}
	}

	// Goes on after an attempt that may have run.
	private void onMayHaveRun(ErrorKind kind, String reason) {
		this.mayHaveRun = true;
		this.runs++;
		long now = Clocks.monotonicMillis();
		boolean allowed = this.route.repeatable() && this.runs < this.route.maxAttempts() && now < this.expiresAt
				&& this.context.retryShare(this.service).tryRetry(hosts(), now);
		if (allowed) {
			this.events.dropPartial();
			this.context.metrics.add(Metric.RETRIES, 1, "service", this.service);
			place(now);
		}
		else {
			giveUp(kind, -1, reason);
		}
	}

	private int hosts() {
		return this.context.peers.largestFleetSize();
	}

	// Ends the request without an endpoint's answer. One that may have run gets an
	// answer that promises nothing.
	private void giveUp(ErrorKind kind, long retryAfterMillis, String reason) {
		if (this.over) {
			return;
		}
		if (this.headSent) {
			finish(kind.label(), reason);
			this.client.close();
		}
		else if (this.mayHaveRun && kind.outcome() == Outcome.NOT_RUN) {
			refuse(ErrorKind.CONNECTION_LOST, -1, reason);
		}
		else {
			refuse(kind, retryAfterMillis, reason);
		}
	}

	private void refuse(ErrorKind kind, long retryAfterMillis, String reason) {
		finish(kind.label(), reason);
		this.client.respond(kind.status(), this.context.wireFormat.ownAnswer(this.attempt.id(), retryAfterMillis),
				new byte[0]);
	}

	private void expire() {
		if (this.over) {
			return;
		}
		boolean sent = this.current != null;
		cancelCurrent(AttemptResult.ABANDONED);
		this.mayHaveRun |= sent;
		giveUp(sent ? ErrorKind.DEADLINE_EXCEEDED : ErrorKind.TIMED_OUT_WAITING, -1, "time limit");
	}

	/** Ends everything after the client has closed its connection. */
	void onClientGone() {
		if (!this.over) {
			cancelCurrent(AttemptResult.ABANDONED);
			finish("client_gone", "the client closed its connection");
		}
	}

	private void cancelCurrent(AttemptResult result) {
		if (this.current != null) {
			this.current.cancel(result);
		}
		withdrawPlacement();
	}

	private void finish(String outcome, String reason) {
		this.over = true;
		if (this.expiry != null) {
			this.expiry.cancel();
		}
		long now = Clocks.monotonicMillis();
		String kind = (this.route != null) ? this.route.name() : "";
		this.context.metrics.add(Metric.REQUESTS, 1, "kind", kind, "outcome", outcome);
		this.context.metrics.record(Metric.DURATION, now - this.request.arrivedAt(), "kind", kind);
		this.context.log.write(LogEvent.GATEWAY_ANSWERED, "request", this.attempt.id(), "route", kind, "outcome",
				outcome, "reason", reason, "attempts", this.sends, "ms", now - this.request.arrivedAt(), "organisation",
				organisationName(), "routes_age_ms", this.context.reportedConfigurationAgeMillis());
		this.onOver.run();
	}

	/**
	 * One sending of the request to an endpoint. Invariant: it ends once. Confined to the
	 * thread of the event loop.
	 */
	private final class Attempt implements ResponseListener {

		private final EndpointEntry endpoint;

		private final String id = placementId();

		private final Placement place = Exchange.this.placement;

		private final long sentAt;

		private final ByteArrayOutputStream body = new ByteArrayOutputStream();

		private final int eventsBefore = Exchange.this.events.events();

		private ConnectionPool.Call call;

		private HttpResponse head;

		private EndpointAnswer.Verdict verdict;

		private long firstEventAt = -1;

		private boolean paused;

		private ScheduledRunnable silence;

		Attempt(EndpointEntry endpoint, long sentAt) {
			this.endpoint = endpoint;
			this.sentAt = sentAt;
		}

		void start(HttpRequestParts parts, ConnectionPool.Options options) {
			this.call = Exchange.this.context.connections.send(this.endpoint.address(), parts, options, this);
			if (Exchange.this.route.repeatable() && Exchange.this.current == this) {
				long limit = SILENCE_MILLIS + 2 * Exchange.this.route.objectiveMillis();
				this.silence = Exchange.this.context.reactor.delay(limit, this::onSilence);
			}
		}

		private void onSilence() {
			if (Exchange.this.current == this && this.firstEventAt < 0 && this.head == null) {
				cancel(AttemptResult.LOST);
				onMayHaveRun(ErrorKind.CONNECTION_LOST, "no answer from " + this.endpoint.id());
			}
		}

		@Override
		public boolean accepts(HttpResponse response) {
			return !Exchange.this.context.wireFormat.belongsToOther(response, Exchange.this.attempt.id());
		}

		@Override
		public void onHead(HttpResponse response) {
			this.head = response;
			EndpointAnswer answer = Exchange.this.context.wireFormat.answer(response);
			this.verdict = answer.verdict();
			if (this.verdict == EndpointAnswer.Verdict.UNUSABLE) {
				cancel(AttemptResult.LOST);
				onMayHaveRun(ErrorKind.BAD_ANSWER,
						"unusable answer with status " + answer.status() + " of " + this.endpoint.id());
			}
		}

		private boolean streaming() {
			return this.verdict == EndpointAnswer.Verdict.SUCCESS
					&& Exchange.this.route.kind() == RequestKind.STREAMING;
		}

		@Override
		public void onBody(byte[] bytes) {
			if (!streaming()) {
				this.body.writeBytes(bytes);
				return;
			}
			byte[] whole = Exchange.this.events.add(bytes);
			if (whole.length > 0) {
				noteFirstEvent();
				sendHead();
				Exchange.this.client.piece(whole);
				slowDown();
			}
		}

		private void noteFirstEvent() {
			if (this.firstEventAt < 0) {
				this.firstEventAt = Clocks.monotonicMillis();
				Exchange.this.context.metrics.record(Metric.FIRST_BYTE,
						this.firstEventAt - Exchange.this.request.arrivedAt(), "kind", Exchange.this.route.name());
				if (this.place != null) {
					Exchange.this.context.placements.begun(this.place, this.firstEventAt - this.sentAt);
				}
			}
		}

		private void sendHead() {
			if (!Exchange.this.headSent) {
				Exchange.this.headSent = true;
				Exchange.this.client.begin(this.head.status().code(),
						Exchange.this.context.wireFormat.towardsClient(this.head));
			}
		}

		/** Stops reading while the client does not accept what was read. */
		private void slowDown() {
			if (Exchange.this.client.unwritten() > MAX_UNWRITTEN_BYTES && !this.paused) {
				this.paused = true;
				this.call.pause();
				checkUnwritten();
			}
		}

		private void checkUnwritten() {
			if (Exchange.this.over || Exchange.this.current != this) {
				return;
			}
			if (Exchange.this.client.unwritten() < MAX_UNWRITTEN_BYTES / 2) {
				this.paused = false;
				this.call.resume();
			}
			else {
				Exchange.this.context.reactor.delay(UNWRITTEN_CHECK_MILLIS, this::checkUnwritten);
			}
		}

		@Override
		public void onComplete() {
			switch (this.verdict) {
				case NOT_RUN -> {
					end(AttemptResult.NOT_TAKEN, "status " + this.head.status().code() + ", not run");
					onNotRun("not taken by " + this.endpoint.id(), true);
				}
				case SUCCESS -> {
					if (streaming()) {
						completeStream();
					}
					else {
						end(AttemptResult.ANSWERED, "complete");
						answer("answered");
					}
				}
				default -> completeFailure();
			}
		}

		private void completeStream() {
			if (Exchange.this.events.partial()) {
				end(AttemptResult.LOST, "stream ended inside an event");
				onMayHaveRun(ErrorKind.STREAM_BROKEN, "stream of " + this.endpoint.id() + " ended inside an event");
				return;
			}
			end(AttemptResult.ANSWERED, "complete");
			sendHead();
			finish("answered", "");
			Exchange.this.client.end();
		}

		private void completeFailure() {
			end(AttemptResult.FAILED, "status " + this.head.status().code());
			boolean again = Exchange.this.route.repeatable() && !Exchange.this.headSent
					&& Exchange.this.runs + 1 < Exchange.this.route.maxAttempts() && this.head.status().code() >= 500
					&& Exchange.this.context.retryShare(Exchange.this.service)
						.tryRetry(hosts(), Clocks.monotonicMillis());
			if (again) {
				Exchange.this.runs++;
				Exchange.this.mayHaveRun = true;
				Exchange.this.context.metrics.add(Metric.RETRIES, 1, "service", Exchange.this.service);
				place(Clocks.monotonicMillis());
			}
			else if (Exchange.this.headSent) {
				giveUp(ErrorKind.STREAM_BROKEN, -1, "resumed stream answered " + this.head.status().code());
			}
			else {
				answer("failed");
			}
		}

		private void answer(String outcome) {
			finish(outcome, "status " + this.head.status().code() + " of " + this.endpoint.id());
			Exchange.this.client.respond(this.head.status().code(),
					Exchange.this.context.wireFormat.towardsClient(this.head), this.body.toByteArray());
		}

		@Override
		public void onFailure(String reason) {
			boolean notRun = this.verdict == EndpointAnswer.Verdict.NOT_RUN;
			end(notRun ? AttemptResult.NOT_TAKEN : AttemptResult.LOST, reason);
			if (notRun) {
				onNotRun(reason, true);
			}
			else {
				onMayHaveRun(Exchange.this.headSent ? ErrorKind.STREAM_BROKEN : ErrorKind.CONNECTION_LOST,
						reason + " at " + this.endpoint.id());
			}
		}

		@Override
		public void onNotSent(String reason) {
			end(AttemptResult.UNREACHABLE, reason);
			onNotRun(reason, false);
		}

		void cancel(AttemptResult result) {
			this.call.cancel();
			end(result, "cancelled");
		}

		private void end(AttemptResult result, String reason) {
			Exchange.this.current = null;
			Exchange.this.placement = null;
			if (this.silence != null) {
				this.silence.cancel();
			}
			long now = Clocks.monotonicMillis();
			int count = Exchange.this.events.events() - this.eventsBefore;
			Exchange.this.context.log.write(LogEvent.ATTEMPT_ENDED, "request", Exchange.this.attempt.id(), "endpoint",
					this.endpoint.id(), "result", result, "reason", reason, "first_event_ms",
					(this.firstEventAt >= 0) ? this.firstEventAt - this.sentAt : -1, "ms", now - this.sentAt, "events",
					count, "kept_connection", this.call != null && this.call.reused());
			if (this.place != null) {
				int tokens = count * Exchange.this.policy.tokensPerEvent();
				long streamMillis = (this.firstEventAt >= 0) ? now - this.firstEventAt : 0;
				Exchange.this.context.placements.ended(this.place, result, tokens, streamMillis);
				if (result == AttemptResult.ANSWERED) {
					Exchange.this.context.lengthEstimate.onFinished(Exchange.this.route.name(), organisationName(),
							tokens);
				}
			}
			else {
				Exchange.this.context.plainPool(Exchange.this.service).ended(this.endpoint.id(), this.id, result, now);
			}
		}

	}

}
