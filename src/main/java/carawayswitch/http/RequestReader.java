package carawayswitch.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Supplier;

import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;

/**
 * Assembles the requests of one connection from its input. Invariants: each request is
 * passed on once, when it is complete; nothing is passed on after {@link #end()}; while
 * the body awaits room, the parts that were decoded are held back in their order and no
 * more is to be read. Limits of the size hold from the next request on. Confined to the
 * thread of its event loop.
 */
final class RequestReader {

	private static final byte[] EMPTY = new byte[0];

	private final HttpMessageCodec codec;

	private final Supplier<RequestLimits> limits;

	private final RequestBodyBudget bodyBudget;

	private final Listener listener;

	/** Decoded parts that are not handled yet. */
	private final Deque<HttpObject> parts = new ArrayDeque<>();

	private boolean awaitsRoom;

	private HttpRequest head;

	private IncomingBody body;

	/** Whether the client waits for an interim response before it sends the body. */
	private boolean continueExpected;

	/** Whether all further input is ignored. */
	private boolean ended;

	/** Time of the latest read or resumption. */
	private long handledAt;

	/** Time at which the present wait for room began, or -1. */
	private long roomAwaitedSince = -1;

	/** Time in milliseconds for which the body in progress has waited for room. */
	private long roomAwaitedMillis;

	RequestReader(HttpMessageCodec codec, Supplier<RequestLimits> limits, RequestBodyBudget bodyBudget,
			Listener listener) {
		this.codec = codec;
		this.limits = limits;
		this.bodyBudget = bodyBudget;
		this.listener = listener;
	}

	/**
	 * Reads bytes that have arrived.
	 * @param bytes the bytes
	 * @param now monotonic time in milliseconds
	 */
	void read(byte[] bytes, long now) {
		if (this.ended) {
			return;
		}
		this.handledAt = now;
		this.codec.limitRequestHeaders(this.limits.get().maxHeaderBytes());
		this.parts.addAll(this.codec.decode(bytes));
		handleParts(now);
	}

	/**
	 * Goes on with a body that awaits room.
	 * @param now monotonic time in milliseconds
	 */
	void resume(long now) {
		if (!this.ended) {
			this.handledAt = now;
			handleParts(now);
		}
	}

	private void handleParts(long now) {
		this.awaitsRoom = false;
		while (!this.parts.isEmpty()) {
			if (awaitsRoom(this.parts.peek(), now)) {
				this.awaitsRoom = true;
				this.roomAwaitedSince = (this.roomAwaitedSince < 0) ? now : this.roomAwaitedSince;
				return;
			}
			endRoomWait(now);
			HttpObject part = this.parts.poll();
			if (!this.ended) {
				onPart(part);
			}
			ReferenceCountUtil.release(part);
		}
	}

	private void endRoomWait(long now) {
		if (this.roomAwaitedSince >= 0) {
			this.roomAwaitedMillis += now - this.roomAwaitedSince;
			this.roomAwaitedSince = -1;
		}
	}

	private boolean awaitsRoom(HttpObject part, long now) {
		return this.body != null && part instanceof HttpContent content && !part.decoderResult().isFailure()
				&& this.body.receivedBytes() + content.content().readableBytes() <= this.limits.get().maxBodyBytes()
				&& this.body.awaitsRoom(content.content().readableBytes(), now);
	}

	/**
	 * Returns whether a body waits for memory, so that nothing is to be read until
	 * {@link #resume}.
	 * @return true if the next part is held back
	 */
	boolean awaitsRoom() {
		return this.awaitsRoom;
	}

	/**
	 * Returns whether the body in progress has waited for as long as it may.
	 * @param now monotonic time in milliseconds
	 * @return true if it is not to wait any longer
	 */
	boolean roomWaitOver(long now) {
		return this.body == null || this.body.droppedBytes() > 0 || this.body.roomWaitOver(now);
	}

	/**
	 * Returns the body that is being received.
	 * @return the body with its head, or empty if none is or it was dropped
	 */
	Optional<PartialBody> partialBody() {
		return (this.body == null || this.body.droppedBytes() > 0) ? Optional.empty()
				: Optional.of(new PartialBody(receivedRequest(EMPTY), this.body.urgency(), this.body.reservedBytes()));
	}

	/** Drops the body that is being received, so that its request is refused. */
	void dropPartialBody() {
		if (this.body != null) {
			this.body.drop();
		}
	}

	private void onPart(HttpObject part) {
		DecoderResult result = part.decoderResult();
		if (result.isFailure()) {
			this.listener.onInvalidInput(statusOf(result.cause()));
			return;
		}
		if (part instanceof HttpRequest request) {
			this.head = request;
			this.roomAwaitedMillis = 0;
			long statedBytes = HttpUtil.getContentLength(request, -1L);
			if (statedBytes > this.limits.get().maxBodyBytes()) {
				this.listener.onInvalidInput(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
				return;
			}
			this.body = new IncomingBody(this.bodyBudget, statedBytes,
					() -> this.listener.urgency(receivedRequest(EMPTY)),
					() -> this.listener.roomWaitMillis(receivedRequest(EMPTY)));
			this.continueExpected = HttpUtil.is100ContinueExpected(request);
		}
		if (part instanceof HttpContent content && this.head != null) {
			onContent(content);
		}
	}

	private static HttpResponseStatus statusOf(Throwable cause) {
		if (cause instanceof TooLongHttpHeaderException) {
			return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
		}
		return (cause instanceof TooLongHttpLineException) ? HttpResponseStatus.REQUEST_URI_TOO_LONG
				: HttpResponseStatus.BAD_REQUEST;
	}

	private void onContent(HttpContent content) {
		if (this.body.receivedBytes() + content.content().readableBytes() > this.limits.get().maxBodyBytes()) {
			this.listener.onInvalidInput(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
			return;
		}
		this.continueExpected = false;
		this.body.append(content.content());
		if (content instanceof LastHttpContent) {
			ReceivedRequest request = receivedRequest(this.body.complete());
			long droppedBytes = this.body.droppedBytes();
			this.head = null;
			this.body = null;
			this.listener.onRequest(request, droppedBytes);
		}
	}

	// The time for which this host has left the body unread counts against the client's
	// limit, as if the body had been read at once.
	private ReceivedRequest receivedRequest(byte[] bytes) {
		return new ReceivedRequest(this.head.method().name(), this.head.uri(), this.head.headers(), bytes,
				HttpUtil.isKeepAlive(this.head), this.handledAt - this.roomAwaitedMillis);
	}

	/**
	 * Returns whether a part of a request has been read.
	 * @return true from the end of its head until it is complete
	 */
	boolean requestIncomplete() {
		return this.head != null;
	}

	/**
	 * Returns whether the client waits for an interim response before it sends the body.
	 * @return true until {@link #onContinueSent()} or a part of the body
	 */
	boolean continueExpected() {
		return this.continueExpected;
	}

	void onContinueSent() {
		this.continueExpected = false;
	}

	/** Ignores all further input, and drops a request that is not complete. */
	void end() {
		this.ended = true;
		this.awaitsRoom = false;
		this.parts.forEach(ReferenceCountUtil::release);
		this.parts.clear();
		this.head = null;
		this.continueExpected = false;
		if (this.body != null) {
			this.body.release();
			this.body = null;
		}
	}

	/**
	 * Receives what was read.
	 */
	interface Listener {

		/**
		 * Handles a complete request.
		 * @param request the request
		 * @param droppedBytes length of the body if it was dropped for lack of memory,
		 * else 0
		 */
		void onRequest(ReceivedRequest request, long droppedBytes);

		/**
		 * Handles input that makes no request or exceeds a limit, and ends the reader.
		 * @param status status code of the error response
		 */
		void onInvalidInput(HttpResponseStatus status);

		/**
		 * Returns the urgency of a request whose body is still to be received.
		 * @param head the request without its body
		 * @return the urgency
		 */
		int urgency(ReceivedRequest head);

		/**
		 * Returns how long the body of a request may wait for memory.
		 * @param head the request without its body
		 * @return time in milliseconds, 0 if it does not wait
		 */
		long roomWaitMillis(ReceivedRequest head);

	}

}
