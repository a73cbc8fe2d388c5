package carawayswitch.gateway;

import java.util.function.BooleanSupplier;
import java.util.function.LongConsumer;

import carawayswitch.log.LogEvent;

/**
 * Wait of one request until an endpoint of a plain service has room for its body.
 * Invariant: at most one check is scheduled. Confined to the event loop thread.
 */
final class BodyRoomWait {

	/** Time in milliseconds between checks whether an endpoint has room for a body. */
	private static final long ROOM_CHECK_MILLIS = 20;

	private final GatewayContext context;

	private final AdmittedRequest admitted;

	private final ExchangeTasks tasks;

	private final String service;

	private final EndpointChoice choice;

	private final BooleanSupplier awaited;

	/** Time until which the body waits for room at an endpoint, or -1. */
	private long waitUntil = -1;

	private boolean checkScheduled;

	/**
	 * Creates a wait that has not begun.
	 * @param context state of the host
	 * @param admitted the request
	 * @param tasks tasks of its exchange
	 * @param service name of the service
	 * @param choice endpoints of the service
	 * @param awaited whether an endpoint is still looked for
	 */
	BodyRoomWait(GatewayContext context, AdmittedRequest admitted, ExchangeTasks tasks, String service,
			EndpointChoice choice, BooleanSupplier awaited) {
		this.context = context;
		this.admitted = admitted;
		this.tasks = tasks;
		this.service = service;
		this.choice = choice;
		this.awaited = awaited;
	}

	/**
	 * Waits on for a moment, but in all no longer than half of the time that is left, so
	 * that the client can try another host in the other half.
	 * @param now monotonic time in milliseconds
	 * @param action receives the time of the next check, unless one is scheduled
	 * @return false if the time for waiting is over
	 */
	boolean tryWait(long now, LongConsumer action) {
		if (this.checkScheduled) {
			return true;
		}
		if (this.waitUntil < 0) {
			this.waitUntil = now + (this.admitted.deadlineAt() - now) / 2;
			this.context.boundReporter.report("plain_bodies", LogEvent.ENDPOINT_BODIES_FULL, "request",
					this.admitted.metadata().attemptId(), "endpoint", this.service, "body_bytes",
					this.admitted.bodyBytes(), "held_bytes", this.choice.heldBodyBytes(now));
		}
		if (now >= this.waitUntil) {
			this.waitUntil = -1;
			return false;
		}
		this.checkScheduled = true;
		boolean large = this.choice.bodyExceedsPart();
		this.context.plainBodies.onWaitBegun(this.service, this.admitted.urgency(), large);
		this.tasks.delay(ROOM_CHECK_MILLIS, () -> {
			this.checkScheduled = false;
			this.context.plainBodies.onWaitEnded(this.service, this.admitted.urgency(), large);
			if (this.awaited.getAsBoolean()) {
				action.accept(Clocks.monotonicMillis());
			}
			else {
				this.waitUntil = -1;
			}
		});
		return true;
	}

	/** Ends the wait, since an endpoint has room. */
	void onRoom() {
		this.waitUntil = -1;
	}

}
