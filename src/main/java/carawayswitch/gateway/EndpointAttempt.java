package carawayswitch.gateway;

import java.io.ByteArrayOutputStream;

import io.activej.reactor.schedule.ScheduledRunnable;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;

import carawayswitch.http.ConnectionPool;
import carawayswitch.http.OutgoingRequest;
import carawayswitch.http.ResponseListener;
import carawayswitch.log.LogEvent;
import carawayswitch.metrics.Metric;
import carawayswitch.outcome.ErrorKind;
import carawayswitch.route.EndpointEntry;
import carawayswitch.route.RequestKind;
import carawayswitch.schedule.AttemptResult;
import carawayswitch.schedule.StreamStats;
import carawayswitch.time.CheckAfterInput;

/**
 * One attempt of an {@link Exchange} to run its request at an endpoint. Invariant: each
 * attempt ends exactly once. Confined to the event loop thread.
 */
final class EndpointAttempt implements ResponseListener {

	private final GatewayContext context;

	private final Exchange exchange;

	private final Dispatcher dispatcher;

	private final AdmittedRequest admitted;

	private final ClientResponse response;

	private final ExchangeTasks tasks;

	private final EndpointEntry endpoint;

	private final AttemptReporter reporter;

	private final long sentAt;

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	/** Number of events of the stream before this attempt. */
	private final int eventCountBefore;

	private ConnectionPool.Call call;

	private HttpResponse responseHead;

	/** Requests per second that the endpoint has named as its limit, or 0. */
	private double requestLimit;

	private EndpointResponse.Classification classification;

	private long firstEventAt = -1;

	private long longestPauseMillis;

	private final ClientBackpressure backpressure;

	/**
	 * Whether the endpoint closed the connection before the response was complete.
	 */
	private boolean disconnected;

	private int reservedBytes;

	private long requestBytes;

	private long answerBytes;

	private final StreamProgress progress;

	private final CheckAfterInput progressCheck;

	private ScheduledRunnable progressTimer;

	private long progressCheckAt;

	EndpointAttempt(GatewayContext context, Exchange exchange, Dispatcher dispatcher, AdmittedRequest admitted,
			ClientResponse response, ExchangeTasks tasks, EndpointEntry endpoint, AttemptReporter reporter,
			long sentAt) {
		this.context = context;
		this.exchange = exchange;
		this.dispatcher = dispatcher;
		this.admitted = admitted;
		this.response = response;
		this.tasks = tasks;
		this.endpoint = endpoint;
		this.reporter = reporter;
		this.sentAt = sentAt;
		this.eventCountBefore = response.events().eventCount();
		this.backpressure = new ClientBackpressure(context, admitted.metadata().attemptId(), tasks, response);
		this.progress = new StreamProgress(admitted.route(), sentAt, admitted.deadlineAt());
		this.progressCheck = tasks.checkAfterInput(this::checkProgress);
	}

	void start(OutgoingRequest endpointRequest, ConnectionPool.Options options) {
		this.requestBytes = CrossZoneMeter.bytes(endpointRequest);
		this.reporter.onSent(this.sentAt);
		if (this.context.pressure.inForce() && !this.reporter.placed()) {
			this.context.plainBodies.onSent(this, this.endpoint.id(), this.admitted.bodyBytes());
		}
		this.call = this.context.connections.send(this.endpoint.address(), endpointRequest, options,
				this.tasks.guarded(this));
		if (this.dispatcher.isCurrent(this)) {
			scheduleProgressCheck(this.sentAt);
		}
	}

	/**
	 * Returns when the attempt was sent if the endpoint has not read the whole request.
	 * @return monotonic time in milliseconds, or -1 if the request is written
	 */
	long uploadingSince() {
		return (this.call != null && this.call.writeInProgress()) ? this.sentAt : -1;
	}

	private void scheduleProgressCheck(long now) {
		cancelProgressTimer();
		long checkAt = this.progress.nextCheckAt();
		this.progressCheckAt = checkAt;
		this.progressTimer = (checkAt < this.admitted.deadlineAt())
				? this.tasks.delayBackground(Math.max(1, checkAt - now), this::onProgressTimer) : null;
	}

	private void cancelProgressTimer() {
		this.progressCheck.cancel();
		if (this.progressTimer != null) {
			this.progressTimer.cancel();
			this.progressTimer = null;
		}
	}

	private void onProgressTimer() {
		this.progressTimer = null;
		this.progressCheck.request(Clocks.monotonicMillis());
	}

	private void checkProgress(long dueAt) {
		if (!this.dispatcher.isCurrent(this)) {
			return;
		}
		if (this.backpressure.paused()) {
			this.progress.onProgress(dueAt);
		}
		long now = Clocks.monotonicMillis();
		switch (this.progress.check(dueAt)) {
			case REPLACE -> {
				this.dispatcher.replaceSilent(now);
				scheduleProgressCheck(now);
			}
			case STALLED -> {
				reportStalled(true, now);
				scheduleProgressCheck(now);
			}
			case IN_TIME -> scheduleProgressCheck(now);
		}
	}

	private void recordProgress(long now) {
		this.dispatcher.onProgress();
		if (this.progress.onProgress(now)) {
			reportStalled(false, now);
		}
		if (this.progressTimer == null || this.progress.nextCheckAt() < this.progressCheckAt) {
			scheduleProgressCheck(now);
		}
	}

	private void reportStalled(boolean stalled, long now) {
		this.context.log.write(LogEvent.ATTEMPT_STALLED, "request", this.admitted.metadata().attemptId(), "endpoint",
				this.endpoint.id(), "stalled", stalled, "events",
				this.response.events().eventCount() - this.eventCountBefore, "ms", now - this.sentAt);
		this.reporter.onStalled(stalled);
	}

	// Ends the attempt without waiting for the rest of the response. The request may
	// have run.
	private void giveUp(String reason, ErrorKind kind) {
		cancel(AttemptResult.LOST, reason);
		this.dispatcher.onMayHaveRun(this.response.streamBegun() ? ErrorKind.STREAM_BROKEN : kind, reason);
	}

	@Override
	public void onConnected() {
		this.response.readPendingDisconnect();
	}

	@Override
	public boolean accepts(HttpResponse response) {
		return !this.context.headerCodec.namesOtherAttempt(response, this.admitted.metadata().attemptId());
	}

	@Override
	public void onHead(HttpResponse response) {
		this.responseHead = response;
		EndpointResponse endpointResponse = this.context.headerCodec.decodeResponse(response,
				this.admitted.metadata().attemptId());
		this.classification = endpointResponse.classify();
		this.requestLimit = endpointResponse.requestLimit();
		if (this.context.endpointBackoffs.onHead(this.endpoint, endpointResponse, Clocks.monotonicMillis())) {
			this.reporter.onReplaced(this.endpoint);
		}
		this.reporter.onHead(this.requestLimit, Clocks.monotonicMillis());
		if (this.classification == EndpointResponse.Classification.UNUSABLE) {
			giveUp("unusable response with status " + endpointResponse.status() + " from " + this.endpoint.id(),
					ErrorKind.BAD_ANSWER);
		}
		else if (!streaming()) {
			recordProgress(Clocks.monotonicMillis());
		}
	}

	private boolean streaming() {
		return this.classification == EndpointResponse.Classification.SUCCESS
				&& this.admitted.route().kind() == RequestKind.STREAMING;
	}

	@Override
	public void onBody(byte[] bytes) {
		this.answerBytes += bytes.length;
		if (!streaming()) {
			addToBody(bytes);
			return;
		}
		byte[] completeEvents = this.response.events().add(bytes);
		boolean tooManyEvents = this.admitted.metadata().tokenCountsPresent() && this.response.events()
			.eventCount() > ResponseLimits.maxEvents(this.admitted.metadata().maxOutputTokens());
		if (tooManyEvents || this.response.events().incompleteBytes() > ResponseLimits.MAX_EVENT_BYTES) {
			giveUp((tooManyEvents ? "more events than output tokens" : "event without end") + " from "
					+ this.endpoint.id(), ErrorKind.BAD_ANSWER);
			return;
		}
		if (completeEvents.length > 0) {
			recordFirstEvent();
			long now = Clocks.monotonicMillis();
			if (this.response.streamBegun()) {
				this.longestPauseMillis = Math.max(this.longestPauseMillis, now - this.response.lastEventAt());
			}
			recordProgress(now);
			beginStream(now);
			this.response.writeEvents(completeEvents, now);
			this.backpressure.check(this.call);
		}
	}

	@Override
	public void onPartialChunk() {
		if (!streaming()) {
			this.progress.onProgress(Clocks.monotonicMillis());
		}
	}

	private void addToBody(byte[] bytes) {
		long length = (long) this.body.size() + bytes.length;
		if (!this.context.responseLimits.reserve(length, bytes.length)) {
			giveUp("body of more than " + length + " bytes from " + this.endpoint.id(), ErrorKind.BAD_ANSWER);
			return;
		}
		this.reservedBytes += bytes.length;
		this.body.writeBytes(bytes);
		this.progress.onProgress(Clocks.monotonicMillis());
	}

	private void recordFirstEvent() {
		if (this.firstEventAt < 0) {
			this.firstEventAt = Clocks.monotonicMillis();
			this.context.metrics.record(Metric.FIRST_BYTE, this.firstEventAt - this.admitted.request().arrivedAt(),
					"kind", this.admitted.route().name());
			this.reporter.onFirstEvent(this.firstEventAt - this.sentAt);
		}
	}

	private void beginStream(long now) {
		if (!this.response.streamBegun()) {
			this.response.beginStream(this.responseHead, this.dispatcher.bindStream(this.endpoint.version(), now));
		}
	}

	@Override
	public void onComplete() {
		switch (this.classification) {
			case NOT_RUN -> {
				endAttempt(AttemptResult.NOT_TAKEN, "status " + this.responseHead.status().code() + ", not run");
				this.dispatcher.onNotRun("not run by " + this.endpoint.id(), true);
			}
			case SUCCESS -> {
				if (streaming()) {
					completeStream();
				}
				else {
					endAttempt(AttemptResult.ANSWERED, "complete");
					forwardResponse("answered");
				}
			}
			default -> completeErrorResponse();
		}
	}

	private void completeStream() {
		if (this.response.events().hasIncompleteEvent() || endedBeforeFirstEvent()) {
			this.disconnected = true;
			String reason = "stream ended " + (endedBeforeFirstEvent() ? "before its first event" : "inside an event");
			endAttempt(AttemptResult.LOST, reason);
			this.dispatcher.onMayHaveRun(
					this.response.streamBegun() ? ErrorKind.STREAM_BROKEN : ErrorKind.CONNECTION_LOST,
					reason + " at " + this.endpoint.id());
			return;
		}
		endAttempt(AttemptResult.ANSWERED, "complete");
		beginStream(Clocks.monotonicMillis());
		this.response.afterEvents(this.exchange::endStream);
	}

	// A stream with neither a length nor chunks ends with its connection, also when
	// the endpoint crashes.
	private boolean endedBeforeFirstEvent() {
		return this.firstEventAt < 0 && !HttpUtil.isContentLengthSet(this.responseHead)
				&& !HttpUtil.isTransferEncodingChunked(this.responseHead);
	}

	private void completeErrorResponse() {
		endAttempt(AttemptResult.FAILED, "status " + this.responseHead.status().code());
		long now = Clocks.monotonicMillis();
		boolean retry = !this.response.streamBegun() && this.responseHead.status().code() >= 500
				&& this.dispatcher.tryRepeat(now);
		if (retry) {
			this.dispatcher.repeat(now);
		}
		else if (this.response.streamBegun()) {
			this.exchange.fail(ErrorKind.STREAM_BROKEN, -1,
					"resuming the stream failed with status " + this.responseHead.status().code());
		}
		else {
			forwardResponse("failed");
		}
	}

	private void forwardResponse(String outcome) {
		int status = this.responseHead.status().code();
		this.exchange.answer(status, this.context.headerCodec.clientResponseHeaders(this.responseHead),
				this.body.toByteArray(), outcome, "status " + status + " from " + this.endpoint.id());
	}

	@Override
	public void onFailure(String reason) {
		boolean notRun = this.classification == EndpointResponse.Classification.NOT_RUN;
		this.disconnected = true;
		endAttempt(notRun ? AttemptResult.NOT_TAKEN : AttemptResult.LOST, reason);
		if (notRun) {
			this.dispatcher.onNotRun(reason, true);
		}
		else {
			this.dispatcher.onMayHaveRun(
					this.response.streamBegun() ? ErrorKind.STREAM_BROKEN : ErrorKind.CONNECTION_LOST,
					reason + " at " + this.endpoint.id());
		}
	}

	@Override
	public void onNotSent(String reason) {
		endAttempt(AttemptResult.UNREACHABLE, reason);
		this.dispatcher.onNotRun(reason, false);
	}

	void cancel(AttemptResult result, String reason) {
		if (this.call != null) {
			this.call.cancel();
		}
		endAttempt(result, reason);
	}

	private void endAttempt(AttemptResult result, String reason) {
		this.dispatcher.onAttemptEnded();
		this.context.plainBodies.onEnded(this);
		this.backpressure.end();
		cancelProgressTimer();
		this.context.responseLimits.release(this.reservedBytes);
		this.reservedBytes = 0;
		long now = Clocks.monotonicMillis();
		this.context.crossZoneMeter.onAttempt(this.endpoint, result, this.requestBytes, this.answerBytes);
		if (result == AttemptResult.ANSWERED) {
			this.context.zoneTraffic.onAnswer(this.endpoint.service(), this.answerBytes);
		}
		int eventCount = this.response.events().eventCount() - this.eventCountBefore;
		long streamMillis = (this.firstEventAt >= 0) ? now - this.firstEventAt : 0;
		this.reporter.onEnded(result, new StreamStats(0, streamMillis, this.longestPauseMillis), eventCount,
				this.disconnected, now);
		this.context.log.write(LogEvent.ATTEMPT_ENDED, "request", this.admitted.metadata().attemptId(), "endpoint",
				this.endpoint.id(), "result", result, "reason", reason, "first_event_ms",
				(this.firstEventAt >= 0) ? this.firstEventAt - this.sentAt : -1, "ms", now - this.sentAt, "events",
				eventCount, "longest_pause_ms", this.longestPauseMillis, "kept_connection",
				this.call != null && this.call.reused(), "named_limit", this.requestLimit);
	}

}
