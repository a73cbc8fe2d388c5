package carawayswitch.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

import carawayswitch.http.ServerConnection;
import carawayswitch.outcome.ErrorKind;
import carawayswitch.route.Recording;

/**
 * Response of one exchange to its client: a plain one, an error of this host, or a stream
 * of events that may come from several endpoints. Invariant: a broken stream is never
 * terminated like a complete one. Confined to the event loop thread. Times are monotonic
 * milliseconds.
 */
final class ClientResponse {

	private final ServerConnection client;

	private final HeaderCodec headerCodec;

	private final EventStreamSplitter events = new EventStreamSplitter();

	private final HeldEvents heldEvents;

	private boolean streamBegun;

	private long lastEventAt;

	/**
	 * Creates a response of which nothing is sent.
	 * @param client connection of the client
	 * @param headerCodec codec of the headers
	 * @param tasks tasks of the exchange
	 * @param requestedAt time at which the request arrived
	 */
	ClientResponse(ServerConnection client, HeaderCodec headerCodec, ExchangeTasks tasks, long requestedAt) {
		this.client = client;
		this.headerCodec = headerCodec;
		this.heldEvents = new HeldEvents(tasks, client);
		this.lastEventAt = requestedAt;
	}

	EventStreamSplitter events() {
		return this.events;
	}

	/**
	 * Returns whether an endpoint has begun a stream, with which only endpoints of its
	 * version can go on.
	 * @return true from {@link #beginStream} on
	 */
	boolean streamBegun() {
		return this.streamBegun;
	}

	/**
	 * Returns whether the client can still get an error in place of the stream.
	 * @return false once a part of the stream has been or may be sent
	 */
	boolean errorPossible() {
		return !this.streamBegun || this.heldEvents.heldBack();
	}

	/**
	 * Returns the time from which the client counts the pause that it waits through.
	 * @return time of the last event, or of the request before the first one
	 */
	long lastEventAt() {
		return this.lastEventAt;
	}

	/** Reports a disconnect of the client that is still unread to the exchange. */
	void readPendingDisconnect() {
		this.client.readArrivedInput();
	}

	void beginStream(HttpResponse head, Recording recording) {
		HttpHeaders headers = this.headerCodec.clientResponseHeaders(head);
		this.streamBegun = true;
		this.heldEvents.begin(head.status().code(), headers, recording);
	}

	void releaseEvents() {
		this.heldEvents.release();
	}

	void writeEvents(byte[] completeEvents, long now) {
		this.lastEventAt = now;
		this.heldEvents.write(completeEvents);
	}

	/**
	 * Runs an action once all events are written.
	 * @param action the action
	 */
	void afterEvents(Runnable action) {
		this.heldEvents.afterRelease(action);
	}

	void endStream() {
		this.client.endChunked();
	}

	/** Closes the connection, so that the client sees that its response is incomplete. */
	void breakOff() {
		this.heldEvents.end();
		this.client.close();
	}

	void onDisconnected() {
		this.heldEvents.end();
	}

	void sendPlain(int status, HttpHeaders headers, byte[] body) {
		this.client.respond(status, headers, body);
	}

	void sendError(ErrorKind kind, String attemptId, long retryAfterMillis) {
		this.heldEvents.end();
		this.client.respond(kind.status(), this.headerCodec.localResponseHeaders(attemptId, retryAfterMillis),
				new byte[0]);
	}

	long unwrittenBytes() {
		return this.client.unwrittenBytes();
	}

}
