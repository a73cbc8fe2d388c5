package carawayswitch.gateway;

import java.util.concurrent.CompletableFuture;

import io.activej.eventloop.Eventloop;

import carawayswitch.log.LogEvent;

/**
 * Graceful shutdown of a gateway host: it announces that it leaves, rejects what cannot
 * end in time, and ends when all responses are written. At the end of the grace period
 * the requests that are still in progress get a truthful error. Confined to the event
 * loop thread.
 */
final class GatewayShutdown {

	/**
	 * Time in milliseconds from the start of a shutdown until the load balancer has seen
	 * two failed readiness checks, at one check a second.
	 */
	private static final long BALANCER_NOTICE_MILLIS = 2600;

	/**
	 * Longest time in milliseconds for writing the responses of requests that were ended
	 * before the exit.
	 */
	private static final long WRITE_LIMIT_MILLIS = 300;

	private static final long CHECK_INTERVAL_MILLIS = 20;

	private final Eventloop loop;

	private final GatewayContext context;

	private final FrontServer front;

	private final HostDirectory directory;

	private final CompletableFuture<Void> stopped = new CompletableFuture<>();

	private boolean requestsEnded;

	GatewayShutdown(Eventloop loop, GatewayContext context, FrontServer front, HostDirectory directory) {
		this.loop = loop;
		this.context = context;
		this.front = front;
		this.directory = directory;
	}

	/**
	 * Starts the shutdown. A repeated call has no further effect.
	 * @param host id of this host
	 * @param now monotonic time in milliseconds
	 */
	void start(String host, long now) {
		if (this.context.stopping()) {
			return;
		}
		this.context.stoppingSince = now;
		this.context.log.write(LogEvent.HOST_STOPPING, "in_flight", this.front.activeRequests(), "connections",
				this.front.connectionCount());
		this.context.peers.leave();
		this.directory.remove(host)
			.whenException((failure) -> this.context.log.write(LogEvent.STORE_LOST, "records", "own_host_record",
					"reason", failure.getMessage()));
		this.front.closeAfterResponses();
		advance();
	}

	CompletableFuture<Void> stopped() {
		return this.stopped;
	}

	private void advance() {
		boolean done = false;
		try {
			done = advance(Clocks.monotonicMillis());
		}
		finally {
			if (!done) {
				this.loop.delay(CHECK_INTERVAL_MILLIS, this::advance);
			}
		}
	}

	// Returns whether the host has stopped.
	private boolean advance(long now) {
		long elapsedMillis = now - this.context.stoppingSince;
		long exitAt = ShutdownAdmission.exitAt(this.context.stoppingSince, this.context.bounds().graceMillis());
		if (now >= exitAt && !this.requestsEnded) {
			this.requestsEnded = true;
			this.front.exchanges().forEach(Exchange::onHostExit);
		}
		else {
			this.front.exchanges().forEach((exchange) -> exchange.rejectIfWaitingTooLong(now));
		}
		boolean answered = this.front.activeRequests() == 0 && this.front.unwrittenBytes() == 0;
		boolean done = answered && (this.requestsEnded || elapsedMillis > BALANCER_NOTICE_MILLIS);
		if (!done && now < exitAt + WRITE_LIMIT_MILLIS) {
			return false;
		}
		this.context.stopped = true;
		this.context.log.write(LogEvent.HOST_STOPPED, "in_flight", this.front.activeRequests(), "unwritten_bytes",
				this.front.unwrittenBytes(), "ms", elapsedMillis);
		this.context.log.close();
		this.stopped.complete(null);
		this.loop.keepAlive(false);
		return true;
	}

}
