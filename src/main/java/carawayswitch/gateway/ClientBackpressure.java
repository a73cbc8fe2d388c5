package carawayswitch.gateway;

import carawayswitch.backpressure.PauseVerdict;
import carawayswitch.http.ConnectionPool;
import carawayswitch.log.LogEvent;

/**
 * Pauses the response of an endpoint while its client has too much unwritten data. If the
 * settings bound memory, a pause is limited, and the rest of the response is then read
 * within the budget of {@link ResponseBuffers}. Confined to the event loop thread.
 */
final class ClientBackpressure {

	/** Time in milliseconds between checks whether a paused response can continue. */
	private static final long CHECK_INTERVAL_MILLIS = 20;

	private final GatewayContext context;

	private final String requestId;

	private final ExchangeTasks tasks;

	private final ClientResponse response;

	private boolean paused;

	private long pausedAt;

	/** Whether the response is read without further pauses. */
	private boolean readsOn;

	private boolean ended;

	ClientBackpressure(GatewayContext context, String requestId, ExchangeTasks tasks, ClientResponse response) {
		this.context = context;
		this.requestId = requestId;
		this.tasks = tasks;
		this.response = response;
	}

	/**
	 * Pauses a response if its client is slow, until the client has caught up.
	 * @param call the call to the endpoint
	 */
	void check(ConnectionPool.Call call) {
		if (this.response.unwrittenBytes() > PauseVerdict.MAX_UNWRITTEN_BYTES && !this.paused && !this.readsOn) {
			this.paused = true;
			this.pausedAt = Clocks.monotonicMillis();
			call.pause();
			resumeWhenClientCatchesUp(call);
		}
	}

	private void resumeWhenClientCatchesUp(ConnectionPool.Call call) {
		if (this.ended) {
			return;
		}
		PauseVerdict verdict = PauseVerdict.of(this.response.unwrittenBytes(), this.pausedAt,
				this.context.pressure.inForce(), Clocks.monotonicMillis());
		if (verdict == PauseVerdict.WAIT) {
			this.tasks.delay(CHECK_INTERVAL_MILLIS, () -> resumeWhenClientCatchesUp(call));
			return;
		}
		if (verdict == PauseVerdict.READ_ON) {
			this.readsOn = true;
			this.context.boundReporter.report("pause", LogEvent.RESPONSE_READ_ON, "request", this.requestId,
					"unwritten_bytes", this.response.unwrittenBytes(), "buffered_bytes",
					this.context.responseBuffers.bufferedBytes());
		}
		this.paused = false;
		call.resume();
	}

	boolean paused() {
		return this.paused;
	}

	/** Stops the checks, since the response has ended. */
	void end() {
		this.ended = true;
	}

}
