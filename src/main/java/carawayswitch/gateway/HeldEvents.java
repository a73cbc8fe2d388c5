package carawayswitch.gateway;

import java.io.ByteArrayOutputStream;

import io.netty.handler.codec.http.HttpHeaders;

import carawayswitch.http.ServerConnection;
import carawayswitch.route.Recording;

/**
 * Head and events of a stream on their way to the client. The head and the first events
 * are held while it is recorded what has begun the stream, so that the client can take it
 * up after the loss of all hosts. Invariant: while no event may be sent the head is not
 * sent either, so that the client can still get an error. Confined to the event loop
 * thread.
 */
final class HeldEvents {

	/**
	 * Longest time in milliseconds for which events are held if they need not be. A
	 * stream that is not recorded by then may not be resumable after a loss of its host.
	 */
	private static final long MAX_HOLD_MILLIS = 80;

	private final ExchangeTasks tasks;

	private final ServerConnection client;

	private final ByteArrayOutputStream held = new ByteArrayOutputStream();

	private int status;

	private HttpHeaders headers;

	private boolean holding;

	/** Whether no event may be sent before the stream is recorded. */
	private boolean mustRecord;

	private Runnable onReleased = () -> {
	};

	HeldEvents(ExchangeTasks tasks, ServerConnection client) {
		this.tasks = tasks;
		this.client = client;
	}

	/**
	 * Begins the stream, and holds it until {@link #release} if it is to be recorded
	 * before its first event.
	 * @param streamStatus status of the response
	 * @param streamHeaders headers of the response
	 * @param recording by when the stream must be recorded
	 */
	void begin(int streamStatus, HttpHeaders streamHeaders, Recording recording) {
		this.status = streamStatus;
		this.headers = streamHeaders;
		this.holding = true;
		this.mustRecord = recording == Recording.BEFORE_FIRST_EVENT;
		if (!recording.holdsFirstEvent()) {
			release();
		}
		else if (!this.mustRecord) {
			this.tasks.delay(MAX_HOLD_MILLIS, this::release);
		}
	}

	/**
	 * Returns whether nothing of the stream has been sent or may be sent yet.
	 * @return true while the stream must be recorded first
	 */
	boolean heldBack() {
		return this.holding && this.mustRecord;
	}

	/**
	 * Ends a broken stream: sends what is held unless it must not be sent. Nothing is
	 * sent later.
	 */
	void end() {
		if (!this.mustRecord) {
			release();
		}
		this.holding = false;
	}

	void write(byte[] events) {
		if (this.holding) {
			this.held.writeBytes(events);
		}
		else {
			this.client.writeChunk(events);
		}
	}

	/**
	 * Runs an action once no event is held any more, or now if none is.
	 * @param action the action
	 */
	void afterRelease(Runnable action) {
		if (this.holding) {
			this.onReleased = action;
		}
		else {
			action.run();
		}
	}

	/** Sends the head and the held events. */
	void release() {
		if (this.holding) {
			this.holding = false;
			this.client.beginChunked(this.status, this.headers);
			this.client.writeChunk(this.held.toByteArray());
			this.onReleased.run();
		}
	}

}
