package carawayswitch.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.reactor.nio.NioChannelEventHandler;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

import carawayswitch.config.Tier;

/**
 * HTTP/1.1 connection of a client. Reads requests one after another, passes each to the
 * handler when it is complete, and detects a disconnect of the client at any time.
 * Invariants: one request is in progress at a time and gets at most one response; a
 * request that was read whole is dropped only after the client was told that the response
 * before it is the last one; an aborted response is never terminated like a complete one;
 * after the last response the client's input is read until it ends, for a limited time,
 * since a close with unread input resets the connection and may destroy the response.
 * Confined to the thread of its event loop.
 */
public final class ServerConnection {

	/**
	 * Maximum number of requests that wait for their turn; further ones are dropped.
	 */
	private static final int MAX_PIPELINED_REQUESTS = 16;

	/**
	 * Time in milliseconds for which input is read and dropped after the last response.
	 */
	private static final long LINGER_MILLIS = 5000;

	private static final byte[] EMPTY = new byte[0];

	private final ITcpSocket socket;

	private final Handler handler;

	private final Supplier<RequestLimits> limits;

	private final LongSupplier monotonicMillis;

	private final HttpMessageCodec codec;

	private final RequestBodyBudget bodyBudget;

	private final RequestReader reader;

	private final Deque<QueuedRequest> pipelinedRequests = new ArrayDeque<>();

	/** Length of the body of the request in progress, which is reserved. */
	private int currentBodyBytes;

	/**
	 * Status of the answer to invalid input, which follows the other answers, or null.
	 */
	private HttpResponseStatus pendingRejection;

	private boolean requestInProgress;

	private boolean closeAfterCurrentResponse;

	/** Whether the client has been told that the response is the last one. */
	private boolean closeAnnounced;

	private boolean lastResponseEnded;

	/** Whether the output has ended and the rest of the input is dropped. */
	private boolean lingering;

	private long lingeringSince;

	private boolean clientKeepsAlive = true;

	private boolean closed;

	private long lastReadAt;

	private long idleSince;

	/**
	 * Idle limit in milliseconds that was in force at the last response. Clients reuse
	 * the connection accordingly until they learn of another one.
	 */
	private long knownIdleTimeoutMillis;

	private final SocketWriter writer;

	/** Whether nothing is read until {@link #resumeRead}. */
	private boolean readPaused;

	/** Whether the handler knows that bytes are unwritten. */
	private boolean bufferReported;

	/**
	 * Creates a connection whose bodies are only bounded one by one. It does not read
	 * until {@link #start()}.
	 * @param socket the accepted socket
	 * @param handler receives the requests
	 * @param limits source of the current limits
	 * @param monotonicMillis source of the monotonic time in milliseconds
	 */
	public ServerConnection(ITcpSocket socket, Handler handler, Supplier<RequestLimits> limits,
			LongSupplier monotonicMillis) {
		this(socket, handler, limits, monotonicMillis, new RequestBodyBudget(Long.MAX_VALUE));
	}

	/**
	 * Creates a connection that does not read until {@link #start()}.
	 * @param socket the accepted socket
	 * @param handler receives the requests
	 * @param limits source of the current limits
	 * @param monotonicMillis source of the monotonic time in milliseconds
	 * @param bodyBudget budget that the bodies of all connections share
	 */
	public ServerConnection(ITcpSocket socket, Handler handler, Supplier<RequestLimits> limits,
			LongSupplier monotonicMillis, RequestBodyBudget bodyBudget) {
		this.socket = socket;
		this.writer = new SocketWriter(socket, this::onWritten);
		this.handler = handler;
		this.limits = limits;
		this.monotonicMillis = monotonicMillis;
		this.bodyBudget = bodyBudget;
		this.codec = HttpMessageCodec.server(limits.get().maxHeaderBytes());
		this.reader = new RequestReader(this.codec, limits, bodyBudget, new ReadListener());
		this.lastReadAt = monotonicMillis.getAsLong();
		startIdleTime();
	}

	/**
	 * Starts reading requests.
	 */
	public void start() {
		read();
	}

	private void read() {
		this.socket.read().subscribe((buffer, failure) -> {
			if (this.closed) {
				if (buffer != null) {
					buffer.recycle();
				}
				return;
			}
			if (failure != null || buffer == null) {
				close();
				return;
			}
			this.lastReadAt = this.monotonicMillis.getAsLong();
			this.reader.read(buffer.asArray(), this.lastReadAt);
			sendContinue();
			if (!this.closed && this.reader.awaitsRoom()) {
				this.readPaused = true;
				this.handler.onReadPaused(this);
			}
			else if (!this.closed) {
				read();
			}
		});
	}

	/**
	 * Goes on with a body that waits for memory. It is refused once it has waited for as
	 * long as it may. A disconnect of the client is not noticed while it waits.
	 * @param now monotonic time in milliseconds
	 * @return false if the connection is still paused
	 */
	public boolean resumeRead(long now) {
		if (this.closed || !this.readPaused) {
			return true;
		}
		this.lastReadAt = now;
		this.reader.resume(now);
		if (!this.closed && this.reader.awaitsRoom()) {
			return false;
		}
		this.readPaused = false;
		sendContinue();
		if (!this.closed) {
			read();
		}
		return true;
	}

	/**
	 * Returns whether the body that waits for memory has waited for as long as it may.
	 * @param now monotonic time in milliseconds
	 * @return true if {@link #resumeRead} refuses it unless there is memory
	 */
	public boolean roomWaitOver(long now) {
		return this.reader.roomWaitOver(now);
	}

	/**
	 * Returns the body that is being received.
	 * @return the body, or empty if none is or it was dropped
	 */
	public Optional<PartialBody> partialBody() {
		return this.reader.partialBody();
	}

	/**
	 * Drops the body that is being received. Its request is passed to
	 * {@link Handler#onBodyRefused} once its end has arrived.
	 */
	public void dropPartialBody() {
		this.reader.dropPartialBody();
	}

	/**
	 * Reads input that has arrived since the event loop last looked at the socket, so
	 * that a disconnect is reported at once. Must not be called while this connection
	 * handles input.
	 */
	public void readArrivedInput() {
		if (!this.closed && !this.readPaused && this.socket instanceof NioChannelEventHandler readable) {
			readable.onReadReady();
		}
	}

	private void onRequestRead(ReceivedRequest request, long droppedBytes) {
		this.pipelinedRequests.add(new QueuedRequest(request, droppedBytes));
		if (this.pipelinedRequests.size() >= MAX_PIPELINED_REQUESTS) {
			endInput();
		}
		dispatchNext();
	}

	// A client that waits behind other requests is told in its turn.
	private void sendContinue() {
		boolean ending = this.closed || this.closeAnnounced || this.lastResponseEnded;
		if (this.reader.continueExpected() && !this.requestInProgress && !ending) {
			this.reader.onContinueSent();
			// The time for the rest of the request begins now.
			this.lastReadAt = this.monotonicMillis.getAsLong();
			write(this.codec.encode(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE)));
		}
	}

	private void dispatchNext() {
		if (this.requestInProgress || this.closed || this.closeAnnounced || !requestsWait()) {
			return;
		}
		this.requestInProgress = true;
		this.lastResponseEnded = false;
		QueuedRequest queued = this.pipelinedRequests.poll();
		if (queued != null) {
			this.clientKeepsAlive = queued.request().keepAlive();
			this.currentBodyBytes = queued.request().body().length;
			if (queued.droppedBytes() > 0) {
				this.handler.onBodyRefused(this, queued.request(), queued.droppedBytes());
			}
			else {
				this.handler.onRequest(this, queued.request());
			}
			return;
		}
		int status = this.pendingRejection.code();
		this.pendingRejection = null;
		this.handler.onRejected(this, status);
		respond(status, new DefaultHttpHeaders(), EMPTY);
	}

	private boolean requestsWait() {
		return !this.pipelinedRequests.isEmpty() || this.pendingRejection != null;
	}

	private void reject(HttpResponseStatus status) {
		endInput();
		this.pendingRejection = status;
		dispatchNext();
	}

	// Reads no further requests. Those that were read are answered.
	private void endInput() {
		this.reader.end();
		this.closeAfterCurrentResponse = true;
	}

	/**
	 * Sends a complete response.
	 * @param status status code
	 * @param headers headers; framing headers are set here
	 * @param bytes body
	 */
	public void respond(int status, HttpHeaders headers, byte[] bytes) {
		if (this.closed) {
			return;
		}
		headers.remove(HttpHeaderNames.TRANSFER_ENCODING);
		headers.set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
		setConnectionHeader(headers);
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(bytes), headers, new DefaultHttpHeaders());
		write(this.codec.encode(response));
		onResponseEnded();
	}

	/**
	 * Begins a response in chunked transfer encoding.
	 * @param status status code
	 * @param headers headers; framing headers are set here
	 */
	public void beginChunked(int status, HttpHeaders headers) {
		if (this.closed) {
			return;
		}
		headers.remove(HttpHeaderNames.CONTENT_LENGTH);
		headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
		setConnectionHeader(headers);
		write(this.codec
			.encode(new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers)));
	}

	/**
	 * Sends a chunk of the response that {@link #beginChunked} began.
	 * @param bytes content of the chunk; nothing is sent if it is empty
	 */
	public void writeChunk(byte[] bytes) {
		if (!this.closed && bytes.length > 0) {
			write(this.codec.encode(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes))));
		}
	}

	/**
	 * Sends the last chunk, which completes the response that {@link #beginChunked}
	 * began.
	 */
	public void endChunked() {
		if (!this.closed) {
			write(this.codec.encode(LastHttpContent.EMPTY_LAST_CONTENT));
			onResponseEnded();
		}
	}

	private void setConnectionHeader(HttpHeaders headers) {
		headers.remove(HttpHeaderNames.CONNECTION);
		if (this.closeAfterCurrentResponse && !requestsWait() || !this.clientKeepsAlive) {
			headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
			this.closeAfterCurrentResponse = true;
			this.closeAnnounced = true;
		}
	}

	private void onResponseEnded() {
		this.requestInProgress = false;
		releaseCurrentBody();
		startIdleTime();
		if (!this.closeAnnounced && requestsWait()) {
			dispatchNext();
		}
		else if (this.closeAfterCurrentResponse) {
			this.lastResponseEnded = true;
			closeAfterWrites();
		}
		sendContinue();
	}

	private void startIdleTime() {
		this.idleSince = this.monotonicMillis.getAsLong();
		this.knownIdleTimeoutMillis = this.limits.get().idleTimeoutMillis();
	}

	private void releaseCurrentBody() {
		this.bodyBudget.release(this.currentBodyBytes);
		this.currentBodyBytes = 0;
	}

	private void closeAfterWrites() {
		if (unwrittenBytes() == 0 && !this.lingering) {
			this.lingering = true;
			this.lingeringSince = this.monotonicMillis.getAsLong();
			this.reader.end();
			this.socket.write(null).subscribe((done, failure) -> {
				if (failure != null) {
					close();
				}
			});
		}
	}

	private void write(byte[] bytes) {
		this.writer.write(bytes);
		reportBuffer();
	}

	private void onWritten(Exception failure) {
		if (failure != null) {
			close();
		}
		else {
			if (this.lastResponseEnded) {
				closeAfterWrites();
			}
			if (this.bufferReported) {
				reportBuffer();
			}
		}
	}

	private void reportBuffer() {
		long bytes = this.writer.unwrittenBytes();
		if (!this.closed && (bytes > 0 || this.bufferReported)) {
			this.bufferReported = bytes > 0;
			this.handler.onBuffered(this, bytes);
		}
	}

	/**
	 * Makes the response in progress, or else the next one, the last on this connection.
	 * Requests that have arrived before it are answered first.
	 */
	public void closeAfterResponse() {
		this.closeAfterCurrentResponse = true;
	}

	/**
	 * Enforces the time limits: rejects an incomplete request with status 408 and closes
	 * an idle connection. A shorter idle limit applies from the next response on.
	 * @param now monotonic time in milliseconds
	 */
	public void checkTimeouts(long now) {
		RequestLimits current = this.limits.get();
		boolean waitsForRequest = this.reader.requestIncomplete() && !this.reader.continueExpected();
		if (waitsForRequest && !this.readPaused && now - this.lastReadAt > current.headerTimeoutMillis()) {
			reject(HttpResponseStatus.REQUEST_TIMEOUT);
		}
		else if (this.lingering && now - this.lingeringSince > LINGER_MILLIS) {
			close();
		}
		else if (idle() && now - Math.max(this.idleSince, this.lastReadAt) > Math.max(current.idleTimeoutMillis(),
				this.knownIdleTimeoutMillis)) {
			close();
		}
	}

	private boolean idle() {
		return !this.requestInProgress && !this.reader.requestIncomplete() && !requestsWait() && unwrittenBytes() == 0;
	}

	/**
	 * Returns whether a request is in progress.
	 * @return true from the call of {@link Handler#onRequest} until the response is
	 * complete
	 */
	public boolean requestInProgress() {
		return this.requestInProgress;
	}

	/**
	 * Returns whether a part of another request has been read.
	 * @return true from the end of its head until it is complete
	 */
	public boolean requestIncomplete() {
		return this.reader.requestIncomplete();
	}

	/**
	 * Returns the number of response bytes that are not yet written to the socket.
	 * @return number of bytes
	 */
	public long unwrittenBytes() {
		return this.writer.unwrittenBytes();
	}

	/**
	 * Closes the connection at once. A response in progress stays incomplete.
	 */
	public void close() {
		if (this.closed) {
			return;
		}
		this.closed = true;
		this.writer.discard();
		this.socket.close();
		this.codec.release();
		this.handler.onClosed(this);
		releaseCurrentBody();
		this.reader.end();
		this.pipelinedRequests.forEach((queued) -> this.bodyBudget.release(queued.request().body().length));
		this.pipelinedRequests.clear();
	}

	private final class ReadListener implements RequestReader.Listener {

		@Override
		public void onRequest(ReceivedRequest request, long droppedBytes) {
			onRequestRead(request, droppedBytes);
		}

		@Override
		public void onInvalidInput(HttpResponseStatus status) {
			reject(status);
		}

		@Override
		public int urgency(ReceivedRequest head) {
			return ServerConnection.this.handler.urgency(head);
		}

		@Override
		public long roomWaitMillis(ReceivedRequest head) {
			return ServerConnection.this.handler.roomWaitMillis(head);
		}

	}

	/**
	 * Request that has been read.
	 *
	 * @param request the request
	 * @param droppedBytes length of its body if that was dropped, else 0
	 */
	private record QueuedRequest(ReceivedRequest request, long droppedBytes) {

	}

	/**
	 * Receives the events of client connections.
	 */
	public interface Handler {

		/**
		 * Handles a complete request.
		 * @param connection connection on which the response is sent
		 * @param request the request
		 */
		void onRequest(ServerConnection connection, ReceivedRequest request);

		/**
		 * Returns the urgency of a request whose body is still to be received.
		 * @param head the request without its body
		 * @return from 0 to {@link Tier#HIGHEST_URGENCY}
		 */
		default int urgency(ReceivedRequest head) {
			return Tier.HIGHEST_URGENCY;
		}

		/**
		 * Returns how long the body of a request may wait for memory. Meanwhile nothing
		 * is read from its connection.
		 * @param head the request without its body
		 * @return time in milliseconds, 0 if it does not wait
		 */
		default long roomWaitMillis(ReceivedRequest head) {
			return 0;
		}

		/**
		 * Handles the beginning of a wait for memory. The handler calls
		 * {@link ServerConnection#resumeRead} until that returns true.
		 * @param connection the connection, from which nothing is read
		 */
		default void onReadPaused(ServerConnection connection) {
		}

		/**
		 * Handles a request whose body was dropped, since there was no memory for it.
		 * @param connection connection on which the response is sent
		 * @param head the request without its body
		 * @param bodyBytes length of the body
		 */
		default void onBodyRefused(ServerConnection connection, ReceivedRequest head, long bodyBytes) {
			connection.respond(HttpResponseStatus.SERVICE_UNAVAILABLE.code(), new DefaultHttpHeaders(), EMPTY);
		}

		/**
		 * Handles invalid input, which is answered with an error and not passed to
		 * {@link #onRequest}.
		 * @param connection the connection
		 * @param status status code of the error response
		 */
		void onRejected(ServerConnection connection, int status);

		/**
		 * Handles a change of the response bytes that the connection holds, since its
		 * client does not read them. Not called while there are none.
		 * @param connection the connection
		 * @param bytes number of bytes, 0 once all are written
		 */
		default void onBuffered(ServerConnection connection, long bytes) {
		}

		/**
		 * Handles the end of a connection, with or without a request in progress.
		 * @param connection the connection
		 */
		void onClosed(ServerConnection connection);

	}

}
