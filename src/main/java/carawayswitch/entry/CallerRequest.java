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
import carawayswitch.outcome.ErrorKind;
import carawayswitch.outcome.Outcome;
import carawayswitch.outcome.RequestLedger;
import carawayswitch.schedule.EndpointLoadBalancer;
import carawayswitch.schedule.EndpointRouter;
import carawayswitch.schedule.OutputLengthEstimator;
import carawayswitch.schedule.Work;
import carawayswitch.schedule.WorkFactory;

/**
 * One request from its acceptance to its end: grant, attempts, answer. Invariants: work
 * that is not idempotent is written to at most one endpoint; {@code not_run} is told only
 * with a proof over all attempts. Confined to the thread of its event loop.
 */
final class CallerRequest {

	private static final long GRACE_MILLIS = 500;

	private final EntryContext context;

	private final NioReactor reactor;

	private final RandomGenerator random;

	private final OutputLengthEstimator lengths;

	private final CallerCall call;

	private final RequestLedger ledger = new RequestLedger();

	private final Set<String> refusedBy = new HashSet<>();

	private final CallerResponse response;

	private AnswerSink sink;

	private boolean granted;

	private boolean ended;

	private boolean callerGone;

	private Work work;

	private int refusals;

	private ErrorKind refusal = ErrorKind.NO_ENDPOINT;

	private long retryAfterMillis;

	private int attempt;

	private int tokens;

	CallerRequest(EntryContext context, NioReactor reactor, RandomGenerator random, OutputLengthEstimator lengths,
			CallerCall call) {
		this.context = context;
		this.reactor = reactor;
		this.random = random;
		this.lengths = lengths;
		this.call = call;
		this.response = new CallerResponse(call, context.host(), this::onCallerGone);
		this.sink = this.response;
	}

	Promise<HttpResponse> start() {
		if (this.call.guarded()) {
			askGrant();
		}
		else {
			dispatch();
		}
		return this.response.response();
	}

	private void askGrant() {
		GrantRequest request = new GrantRequest(this.call.key(), this.call.keyMintedMillis(), this.context.host(),
				this.context.incarnation(), this.call.requestId(), 0, this.call.fingerprint());
		this.sink = new AnswerRecord(this.reactor, this.response);
		this.context.answers().onAsked(this.call.requestId(), (AnswerRecord) this.sink);
		this.context.grants()
			.ask(this.call.organisation().region(), request, this.call.deadlineMillis(),
					(reply) -> this.reactor.execute(() -> onVerdict(reply)));
	}

	private void onVerdict(GrantReply reply) {
		GrantVerdict verdict = GrantVerdict.valueOf(reply.verdict());
		this.context.metrics().add(Metric.GRANT_VERDICTS, 1, "verdict", verdict.name());
		switch (verdict) {
			case GRANTED -> {
				this.granted = true;
				dispatch();
			}
			case HELD -> {
				stopKeeping();
				attach(reply);
			}
			default -> finish(verdict.error().outcome(), verdict.error(), "", 0);
		}
	}

	private void stopKeeping() {
		this.context.answers().onRefused(this.call.requestId());
		this.sink = this.response;
	}

	private void attach(GrantReply reply) {
		AnswerSink relay = new AttachedSink();
		if (!reply.holder().equals(this.context.host())) {
			Attachment attachment = new Attachment(this.call.requestId(), this.reactor, relay);
			this.context.grants()
				.attach(reply.holder(), reply.holderIncarnation(), reply.holderRequestId(), attachment);
			long left = this.call.deadlineMillis() - this.reactor.currentTimeMillis();
			this.reactor.delayBackground(Math.max(1, left),
					() -> relay.end(Outcome.UNKNOWN, ErrorKind.DEADLINE_EXCEEDED, "", 0));
			return;
		}
		AnswerRecord kept = this.context.answers().find(reply.holderRequestId());
		boolean same = reply.holderIncarnation() == this.context.incarnation();
		if (kept == null || !same) {
			finish(Outcome.UNKNOWN, ErrorKind.ANSWER_NOT_KEPT, "", 0);
		}
		else {
			kept.attach(new Relay(this.reactor, relay));
		}
	}

	private void dispatch() {
		try {
			dispatchOnce();
		}
		catch (RuntimeException ex) {
			LogEvent.INTERNAL_ERROR.log("request", this.call.requestId(), "reason", ex);
			finish(Outcome.UNKNOWN, ErrorKind.INTERNAL, "", 0);
		}
	}

	private void dispatchOnce() {
		long now = this.reactor.currentTimeMillis();
		if (now >= this.call.deadlineMillis()) {
			finishUnrun(ErrorKind.DEADLINE_CANNOT_BE_MET, 0);
			return;
		}
		this.work = WorkFactory.create(forwardRequest("", 0, 0, now), this.call.requestId(),
				this.context.index().state(), this.lengths, now);
		if (this.work == null) {
			finishUnrun(ErrorKind.UNKNOWN_PROFILE, 0);
			return;
		}
		MembershipView view = this.context.view();
		EndpointLoadBalancer.Candidate chosen = EndpointRouter.select(candidates(), this.refusedBy, this.work,
				this.random, now);
		Member owner = (chosen != null) ? owner(view, chosen.view().id()) : null;
		if (owner == null) {
			finishUnrun(this.refusal, this.retryAfterMillis);
			return;
		}
		chosen.view().onDispatched(this.work);
		this.attempt = this.ledger.beginAttempt();
		ForwardRequest request = forwardRequest(chosen.view().id(), this.attempt, owner.incarnation(), now);
		this.context.forwarder()
			.forward(owner, request, this.reactor, new AttemptSink(this.attempt, chosen.view().id()));
		watchDeadline(this.attempt, now);
	}

	private void watchDeadline(int number, long now) {
		this.reactor.delayBackground(this.call.deadlineMillis() - now + GRACE_MILLIS, () -> {
			if (!this.ended && number == this.attempt) {
				this.context.forwarder().expire(this.call.requestId(), number);
			}
		});
	}

	private Member owner(MembershipView view, String endpointId) {
		for (EntryIndex.NamedEndpoint named : this.context.index().endpoints(this.call.service())) {
			if (named.id().equals(endpointId)) {
				return view.ownerOf(endpointId, named.endpoint().zone(), named.endpoint().region());
			}
		}
		return null;
	}

	private List<EndpointLoadBalancer.Candidate> candidates() {
		List<EndpointLoadBalancer.Candidate> candidates = new ArrayList<>();
		for (EntryIndex.NamedEndpoint named : this.context.index().endpoints(this.call.service())) {
			boolean sameZone = named.endpoint().zone().equals(this.context.zone());
			candidates.add(new EndpointLoadBalancer.Candidate(this.context.endpointView(named.id()), sameZone));
		}
		return candidates;
	}

	private ForwardRequest forwardRequest(String endpoint, int number, long ownerIncarnation, long now) {
		return new ForwardRequest(this.call.requestId(), number, endpoint, this.call.organisationName(),
				this.call.profileName(), this.call.method(), this.call.path(), this.call.contentType(),
				this.call.body(), this.call.deadlineMillis() - now, this.call.promptTokens(), this.call.prefixHash(),
				bareKey(), this.call.maxTokens(), ownerIncarnation, this.call.prefixTokens());
	}

	private String bareKey() {
		return this.call.key().substring(this.call.key().indexOf(':') + 1);
	}

	private void onAttemptEnd(ReplyEnd end, String endpoint) {
		Outcome outcome = Outcome.ofLabel(end.outcome());
		ErrorKind kind = end.errorKind().isEmpty() ? ErrorKind.INTERNAL : ErrorKind.ofLabel(end.errorKind());
		if (end.digest() != null) {
			this.context.onDigest(end.digest(), this.reactor.currentTimeMillis());
		}
		this.context.metrics().add(Metric.WASTED_PROMPT_TOKENS, end.wastedPromptTokens());
		this.ledger.ownerReported(outcome);
		if (outcome == Outcome.ANSWERED) {
			this.context.retryBudget(this.call.service()).onSuccess();
			finish(Outcome.ANSWERED, null, "", 0);
		}
		else if (outcome == Outcome.NOT_RUN) {
			this.refusedBy.add(endpoint);
			this.refusals++;
			tryElsewhere(kind, end.retryAfterMillis());
		}
		else {
			retryOrFail(kind);
		}
	}

	private void tryElsewhere(ErrorKind kind, long retryAfterMillis) {
		this.refusal = kind;
		this.retryAfterMillis = retryAfterMillis;
		boolean askMore = EndpointRouter.mayTryAnother(this.work, this.refusals, this.context.settings().maxAttempts());
		boolean stopped = kind == ErrorKind.CALLER_GONE || kind == ErrorKind.UNKNOWN_PROFILE;
		if (askMore && !stopped && !this.callerGone) {
			dispatch();
		}
		else {
			finishUnrun(kind, retryAfterMillis);
		}
	}

	private void retryOrFail(ErrorKind kind) {
		boolean allowed = this.call.profile().idempotent() && !this.response.begun() && !this.callerGone
				&& kind != ErrorKind.DEADLINE_EXCEEDED && this.ledger.attempts() < this.context.settings().maxAttempts()
				&& this.context.retryBudget(this.call.service()).tryRetry();
		if (!allowed) {
			finish(Outcome.UNKNOWN, (kind.outcome() == Outcome.UNKNOWN) ? kind : ErrorKind.CONNECTION_LOST, "", 0);
			return;
		}
		this.response.restart();
		this.tokens = 0;
		this.context.metrics().add(Metric.RETRIES, 1, "service", this.call.service());
		long delay = IntervalFunction.ofExponentialRandomBackoff(this.context.settings().backoff())
			.apply(this.ledger.attempts());
		this.reactor.delayBackground(delay, this::dispatch);
	}

	private void finishUnrun(ErrorKind kind, long retryAfterMillis) {
		if (this.ledger.proof().isDefined()) {
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
		if (this.granted) {
			this.context.grants()
				.settle(this.call.organisation().region(),
						new GrantSettled(this.call.key(), this.call.requestId(), outcome.label()));
		}
		if (outcome == Outcome.ANSWERED && this.tokens > 0) {
			this.lengths.onFinished(this.call.profileName(), this.call.organisationName(), this.tokens);
		}
		this.sink.end(outcome, error, detail, retryAfterMillis);
		if (this.granted) {
			this.context.answers().onFinished(this.call.requestId());
		}
		else if (this.call.guarded()) {
			this.context.answers().onRefused(this.call.requestId());
		}
		record(outcome, error);
	}

	private void record(Outcome outcome, ErrorKind error) {
		long now = this.reactor.currentTimeMillis();
		long millis = now - this.call.arrivalMillis();
		String fleet = this.call.organisationName().substring(0, this.call.organisationName().indexOf('/'));
		String urgency = Integer
			.toString(WorkFactory.urgency(this.context.index().state(), this.call.profileName(), this.call.profile()));
		this.context.metrics()
			.add(Metric.REQUESTS, 1, "fleet", fleet, "urgency", urgency, "kind", this.call.profileName(), "outcome",
					outcome.label());
		this.context.metrics().add(Metric.PROMPT_TOKENS, this.call.promptTokens());
		this.context.metrics().record(Metric.DURATION, millis, "fleet", fleet, "urgency", urgency);
		if (outcome == Outcome.ANSWERED && now <= this.call.deadlineMillis()) {
			this.context.metrics()
				.add(Metric.GOODPUT, 1, "fleet", fleet, "urgency", urgency, "kind", this.call.profileName());
			this.context.metrics()
				.add(Metric.GOODPUT_ORGANISATION_SIZE, 1, "size", this.context.sizes()
					.recordAndClassify(this.call.organisationName(), this.call.promptTokens() + this.tokens + 1, now));
		}
		if (this.response.firstByteAt() > 0) {
			this.context.metrics()
				.record(Metric.FIRST_BYTE, this.response.firstByteAt() - this.call.arrivalMillis(), "fleet", fleet,
						"urgency", urgency);
		}
		LogEvent.REQUEST_ENDED.log("request", this.call.requestId(), "organisation", this.call.organisationName(),
				"profile", this.call.profileName(), "endpoint", this.response.endpoint(), "outcome", outcome.label(),
				"error", (error != null) ? error.label() : "", "attempts", this.ledger.attempts(), "millis", millis);
	}

	private void onCallerGone() {
		this.callerGone = true;
		if (!this.ended && !this.granted) {
			this.context.forwarder().cancel(this.call.requestId(), this.attempt);
		}
	}

	/**
	 * Receives the answer of one attempt.
	 */
	private final class AttemptSink implements ReplySink {

		private final int number;

		private final String endpoint;

		AttemptSink(int number, String endpoint) {
			this.number = number;
			this.endpoint = endpoint;
		}

		private boolean current() {
			return this.number == CallerRequest.this.attempt && !CallerRequest.this.ended;
		}

		@Override
		public void head(ReplyHead head) {
			if (current()) {
				CallerRequest.this.sink.head(head.status(), head.contentType(), this.endpoint);
			}
		}

		@Override
		public void chunk(ReplyChunk chunk) {
			if (current()) {
				CallerRequest.this.tokens++;
				CallerRequest.this.sink.body(chunk.body());
			}
		}

		@Override
		public void end(ReplyEnd end) {
			if (current()) {
				onAttemptEnd(end, this.endpoint);
			}
		}

	}

	/**
	 * Receives the answer of the request that holds the grant.
	 */
	private final class AttachedSink implements AnswerSink {

		@Override
		public void head(int status, String contentType, String endpoint) {
			CallerRequest.this.response.head(status, contentType, endpoint);
		}

		@Override
		public void body(byte[] piece) {
			CallerRequest.this.response.body(piece);
		}

		@Override
		public void end(Outcome outcome, ErrorKind error, String detail, long retryAfterMillis) {
			finish(outcome, error, detail, retryAfterMillis);
		}

	}

}
