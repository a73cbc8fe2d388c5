package carawayswitch.entry;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import io.github.resilience4j.core.IntervalFunction;

import carawayswitch.dispatch.ReplySink;
import carawayswitch.guard.GrantVerdict;
import carawayswitch.log.LogEvent;
import carawayswitch.membership.MembershipView;
import carawayswitch.message.ForwardRequest;
import carawayswitch.message.GrantReply;
import carawayswitch.message.GrantRequest;
import carawayswitch.message.GrantSettled;
import carawayswitch.message.Member;
import carawayswitch.message.ReplyChunk;
import carawayswitch.message.ReplyEnd;
import carawayswitch.message.ReplyHead;
import carawayswitch.metrics.Metric;
import carawayswitch.outcome.AttemptTracker;
import carawayswitch.outcome.ErrorKind;
import carawayswitch.outcome.Outcome;
import carawayswitch.schedule.EndpointLoadBalancer;
import carawayswitch.schedule.EndpointRouter;
import carawayswitch.schedule.OutputLengthEstimator;
import carawayswitch.schedule.Work;
import carawayswitch.schedule.WorkFactory;

/**
 * Runs one admitted request: requests the grant of its idempotency key if it needs one,
 * dispatches attempts, retries and answers the caller. Invariants: work that is not
 * idempotent is written to at most one endpoint; the outcome {@code not_run} is reported
 * only if every attempt is proved not to have been written. Confined to the thread of its
 * event loop.
 */
final class RequestExecution {

	private static final long DEADLINE_GRACE_MILLIS = 500;

	private final EntryContext context;

	private final NioReactor reactor;

	private final RandomGenerator random;

	private final OutputLengthEstimator lengthEstimator;

	private final ResolvedRequest request;

	private final AttemptTracker ledger = new AttemptTracker();

	private final Set<String> rejectedBy = new HashSet<>();

	private final CallerResponse response;

	private AnswerSink sink;

	private boolean grantHeld;

	private boolean ended;

	private boolean callerDisconnected;

	private Work work;

	private int rejectionCount;

	private ErrorKind lastRejection = ErrorKind.NO_ENDPOINT;

	private long retryAfterMillis;

	private int currentAttempt;

	private int outputTokens;

	RequestExecution(EntryContext context, NioReactor reactor, RandomGenerator random,
			OutputLengthEstimator lengthEstimator, ResolvedRequest request) {
		this.context = context;
		this.reactor = reactor;
		this.random = random;
		this.lengthEstimator = lengthEstimator;
		this.request = request;
		this.response = new CallerResponse(request, context.host(), this::onCallerDisconnected);
		this.sink = this.response;
	}

	Promise<HttpResponse> start() {
		if (this.request.requiresGrant()) {
			requestGrant();
		}
		else {
			dispatch();
		}
		return this.response.response();
	}

	private void requestGrant() {
		GrantRequest grantRequest = new GrantRequest(this.request.key(), this.request.keyCreatedMillis(),
				this.context.host(), this.context.incarnation(), this.request.requestId(), 0,
				this.request.fingerprint());
		this.sink = new AnswerRecord(this.reactor, this.response);
		this.context.answerStore().onGrantRequested(this.request.requestId(), (AnswerRecord) this.sink);
		this.context.grantClient()
			.requestGrant(this.request.organisation().region(), grantRequest, this.request.deadlineMillis(),
					(reply) -> this.reactor.execute(() -> onGrantReply(reply)));
	}

	private void onGrantReply(GrantReply reply) {
		GrantVerdict verdict = GrantVerdict.valueOf(reply.verdict());
		this.context.metrics().add(Metric.GRANT_VERDICTS, 1, "verdict", verdict.name());
		switch (verdict) {
			case GRANTED -> {
				this.grantHeld = true;
				dispatch();
			}
			case HELD -> {
				discardAnswerRecord();
				attachToHolder(reply);
			}
			default -> finish(verdict.error().outcome(), verdict.error(), "", 0);
		}
	}

	private void discardAnswerRecord() {
		this.context.answerStore().onNotGranted(this.request.requestId());
		this.sink = this.response;
	}

	private void attachToHolder(GrantReply reply) {
		AnswerSink attachedSink = new AttachedSink();
		if (!reply.holder().equals(this.context.host())) {
			AttachmentReceiver receiver = new AttachmentReceiver(this.request.requestId(), this.reactor, attachedSink);
			this.context.grantClient()
				.attach(reply.holder(), reply.holderIncarnation(), reply.holderRequestId(), receiver);
			long remainingMillis = this.request.deadlineMillis() - this.reactor.currentTimeMillis();
			this.reactor.delayBackground(Math.max(1, remainingMillis),
					() -> attachedSink.end(Outcome.UNKNOWN, ErrorKind.DEADLINE_EXCEEDED, "", 0));
			return;
		}
		AnswerRecord answer = this.context.answerStore().find(reply.holderRequestId());
		boolean sameIncarnation = reply.holderIncarnation() == this.context.incarnation();
		if (answer == null || !sameIncarnation) {
			finish(Outcome.UNKNOWN, ErrorKind.ANSWER_NOT_KEPT, "", 0);
		}
		else {
			answer.attach(new EventLoopAnswerSink(this.reactor, attachedSink));
		}
	}

	private void dispatch() {
		try {
			dispatchAttempt();
		}
		catch (RuntimeException ex) {
			LogEvent.INTERNAL_ERROR.log("request", this.request.requestId(), "reason", ex);
			finish(Outcome.UNKNOWN, ErrorKind.INTERNAL, "", 0);
		}
	}

	private void dispatchAttempt() {
		long now = this.reactor.currentTimeMillis();
		if (now >= this.request.deadlineMillis()) {
			finishNotRun(ErrorKind.DEADLINE_CANNOT_BE_MET, 0);
			return;
		}
		this.work = WorkFactory.create(forwardRequest("", 0, 0, now), this.request.requestId(),
				this.context.index().state(), this.lengthEstimator, now);
		if (this.work == null) {
			finishNotRun(ErrorKind.UNKNOWN_PROFILE, 0);
			return;
		}
		MembershipView membershipView = this.context.membershipView();
		EndpointLoadBalancer.Candidate candidate = EndpointRouter.select(candidates(), this.rejectedBy, this.work,
				this.random, now);
		Member owner = (candidate != null) ? owner(membershipView, candidate.view().id()) : null;
		if (owner == null) {
			finishNotRun(this.lastRejection, this.retryAfterMillis);
			return;
		}
		candidate.view().onDispatched(this.work);
		this.currentAttempt = this.ledger.beginAttempt();
		ForwardRequest attemptRequest = forwardRequest(candidate.view().id(), this.currentAttempt, owner.incarnation(),
				now);
		this.context.forwarder()
			.forward(owner, attemptRequest, this.reactor, new AttemptSink(this.currentAttempt, candidate.view().id()));
		scheduleExpiry(this.currentAttempt, now);
	}

	private void scheduleExpiry(int attempt, long now) {
		this.reactor.delayBackground(this.request.deadlineMillis() - now + DEADLINE_GRACE_MILLIS, () -> {
			if (!this.ended && attempt == this.currentAttempt) {
				this.context.forwarder().expire(this.request.requestId(), attempt);
			}
		});
	}

	private Member owner(MembershipView membershipView, String endpointId) {
		for (ConfigurationIndex.NamedEndpoint endpoint : this.context.index().endpoints(this.request.service())) {
			if (endpoint.id().equals(endpointId)) {
				return membershipView.ownerOf(endpointId, endpoint.endpoint().zone(), endpoint.endpoint().region());
			}
		}
		return null;
	}

	private List<EndpointLoadBalancer.Candidate> candidates() {
		List<EndpointLoadBalancer.Candidate> candidates = new ArrayList<>();
		for (ConfigurationIndex.NamedEndpoint endpoint : this.context.index().endpoints(this.request.service())) {
			boolean sameZone = endpoint.endpoint().zone().equals(this.context.zone());
			candidates.add(new EndpointLoadBalancer.Candidate(this.context.endpointLoadView(endpoint.id()), sameZone));
		}
		return candidates;
	}

	private ForwardRequest forwardRequest(String endpoint, int attempt, long ownerIncarnation, long now) {
		return new ForwardRequest(this.request.requestId(), attempt, endpoint, this.request.organisationName(),
				this.request.profileName(), this.request.method(), this.request.path(), this.request.contentType(),
				this.request.body(), this.request.deadlineMillis() - now, this.request.promptTokens(),
				this.request.prefixHash(), unqualifiedKey(), this.request.maxTokens(), ownerIncarnation,
				this.request.prefixTokens());
	}

	private String unqualifiedKey() {
		return this.request.key().substring(this.request.key().indexOf(':') + 1);
	}

	private void onAttemptEnded(ReplyEnd end, String endpoint) {
		Outcome outcome = Outcome.ofLabel(end.outcome());
		ErrorKind kind = end.errorKind().isEmpty() ? ErrorKind.INTERNAL : ErrorKind.ofLabel(end.errorKind());
		if (end.digest() != null) {
			this.context.onDigest(end.digest(), this.reactor.currentTimeMillis());
		}
		this.context.metrics().add(Metric.WASTED_PROMPT_TOKENS, end.wastedPromptTokens());
		this.ledger.recordOwnerOutcome(outcome);
		if (outcome == Outcome.ANSWERED) {
			this.context.retryBudget(this.request.service()).onSuccess();
			finish(Outcome.ANSWERED, null, "", 0);
		}
		else if (outcome == Outcome.NOT_RUN) {
			this.rejectedBy.add(endpoint);
			this.rejectionCount++;
			tryAnotherEndpoint(kind, end.retryAfterMillis());
		}
		else {
			retryOrFail(kind);
		}
	}

	private void tryAnotherEndpoint(ErrorKind kind, long retryAfterMillis) {
		this.lastRejection = kind;
		this.retryAfterMillis = retryAfterMillis;
		boolean mayTryAnother = EndpointRouter.mayTryAnother(this.work, this.rejectionCount,
				this.context.settings().maxAttempts());
		boolean terminal = kind == ErrorKind.CALLER_GONE || kind == ErrorKind.UNKNOWN_PROFILE;
		if (mayTryAnother && !terminal && !this.callerDisconnected) {
			dispatch();
		}
		else {
			finishNotRun(kind, retryAfterMillis);
		}
	}

	private void retryOrFail(ErrorKind kind) {
		boolean retryAllowed = this.request.profile().idempotent() && !this.response.streamingStarted()
				&& !this.callerDisconnected && kind != ErrorKind.DEADLINE_EXCEEDED
				&& this.ledger.attempts() < this.context.settings().maxAttempts()
				&& this.context.retryBudget(this.request.service()).tryRetry();
		if (!retryAllowed) {
			finish(Outcome.UNKNOWN, (kind.outcome() == Outcome.UNKNOWN) ? kind : ErrorKind.CONNECTION_LOST, "", 0);
			return;
		}
		this.response.discardBuffered();
		this.outputTokens = 0;
		this.context.metrics().add(Metric.RETRIES, 1, "service", this.request.service());
		long delayMillis = IntervalFunction.ofExponentialRandomBackoff(this.context.settings().backoff())
			.apply(this.ledger.attempts());
		this.reactor.delayBackground(delayMillis, this::dispatch);
	}

	private void finishNotRun(ErrorKind kind, long retryAfterMillis) {
		if (this.ledger.notRunProof().isDefined()) {
			finish(Outcome.NOT_RUN, kind, "", retryAfterMillis);
		}
		else {
			finish(Outcome.UNKNOWN, ErrorKind.CONNECTION_LOST, kind.message(), 0);
		}
	}

	private void finish(Outcome outcome, ErrorKind error, String detail, long retryAfterMillis) {
		if (this.ended) {
			return;
		}
		this.ended = true;
		if (this.grantHeld) {
			this.context.grantClient()
				.settle(this.request.organisation().region(),
						new GrantSettled(this.request.key(), this.request.requestId(), outcome.label()));
		}
		if (outcome == Outcome.ANSWERED && this.outputTokens > 0) {
			this.lengthEstimator.onFinished(this.request.profileName(), this.request.organisationName(),
					this.outputTokens);
		}
		this.sink.end(outcome, error, detail, retryAfterMillis);
		if (this.grantHeld) {
			this.context.answerStore().onFinished(this.request.requestId());
		}
		else if (this.request.requiresGrant()) {
			this.context.answerStore().onNotGranted(this.request.requestId());
		}
		recordEnd(outcome, error);
	}

	private void recordEnd(Outcome outcome, ErrorKind error) {
		long now = this.reactor.currentTimeMillis();
		long durationMillis = now - this.request.arrivalMillis();
		String fleet = this.request.organisationName().substring(0, this.request.organisationName().indexOf('/'));
		String urgency = Integer.toString(
				WorkFactory.urgency(this.context.index().state(), this.request.profileName(), this.request.profile()));
		this.context.metrics()
			.add(Metric.REQUESTS, 1, "fleet", fleet, "urgency", urgency, "kind", this.request.profileName(), "outcome",
					outcome.label());
		this.context.metrics().add(Metric.PROMPT_TOKENS, this.request.promptTokens());
		this.context.metrics().record(Metric.DURATION, durationMillis, "fleet", fleet, "urgency", urgency);
		if (outcome == Outcome.ANSWERED && now <= this.request.deadlineMillis()) {
			this.context.metrics()
				.add(Metric.GOODPUT, 1, "fleet", fleet, "urgency", urgency, "kind", this.request.profileName());
			this.context.metrics()
				.add(Metric.GOODPUT_ORGANISATION_SIZE, 1, "size",
						this.context.organisationSizes()
							.recordAndClassify(this.request.organisationName(),
									this.request.promptTokens() + this.outputTokens + 1, now));
		}
		if (this.response.firstByteMillis() > 0) {
			this.context.metrics()
				.record(Metric.FIRST_BYTE, this.response.firstByteMillis() - this.request.arrivalMillis(), "fleet",
						fleet, "urgency", urgency);
		}
		LogEvent.REQUEST_ENDED.log("request", this.request.requestId(), "organisation", this.request.organisationName(),
				"profile", this.request.profileName(), "endpoint", this.response.endpoint(), "outcome", outcome.label(),
				"error", (error != null) ? error.label() : "", "attempts", this.ledger.attempts(), "millis",
				durationMillis);
	}

	private void onCallerDisconnected() {
		this.callerDisconnected = true;
		if (!this.ended && !this.grantHeld) {
			this.context.forwarder().cancel(this.request.requestId(), this.currentAttempt);
		}
	}

	/**
	 * Receives the answer to one attempt. Ignores attempts that have been superseded, and
	 * everything after the end of the request.
	 */
	private final class AttemptSink implements ReplySink {

		private final int attempt;

		private final String endpoint;

		AttemptSink(int attempt, String endpoint) {
			this.attempt = attempt;
			this.endpoint = endpoint;
		}

		private boolean current() {
			return this.attempt == RequestExecution.this.currentAttempt && !RequestExecution.this.ended;
		}

		@Override
		public void head(ReplyHead head) {
			if (current()) {
				RequestExecution.this.sink.head(head.status(), head.contentType(), this.endpoint);
			}
		}

		@Override
		public void chunk(ReplyChunk chunk) {
			if (current()) {
				RequestExecution.this.outputTokens++;
				RequestExecution.this.sink.body(chunk.body());
			}
		}

		@Override
		public void end(ReplyEnd end) {
			if (current()) {
				onAttemptEnded(end, this.endpoint);
			}
		}

	}

	/**
	 * Receives a copy of the answer to the request that holds the grant.
	 */
	private final class AttachedSink implements AnswerSink {

		@Override
		public void head(int status, String contentType, String endpoint) {
			RequestExecution.this.response.head(status, contentType, endpoint);
		}

		@Override
		public void body(byte[] chunk) {
			RequestExecution.this.response.body(chunk);
		}

		@Override
		public void end(Outcome outcome, ErrorKind error, String detail, long retryAfterMillis) {
			finish(outcome, error, detail, retryAfterMillis);
		}

	}

}
