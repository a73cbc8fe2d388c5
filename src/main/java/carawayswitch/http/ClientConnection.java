package carawayswitch.http;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import io.activej.bytebuf.ByteBuf;
import io.activej.common.MemSize;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.reactor.net.SocketSettings;
import io.activej.reactor.nio.NioReactor;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

import carawayswitch.log.DecisionLog;
import carawayswitch.log.LogEvent;

/**
 * HTTP/1.1 connection to a server, which carries one request at a time. Invariants: a
 * connection is reused only if no byte followed the complete response, so that such bytes
 * are never taken for a part of the response to a later request, and only if the listener
 * allows it; a response that ends with its connection is complete only if its request was
 * written; a response that names another request is skipped; a connection is not reused
 * after an error or unexpected input; data of a chunk waits for the end of the chunk, see
 * {@link HeldChunk}; the bytes that are buffered or skipped are bounded. Confined to the
 * thread of its event loop.
 */
public final class ClientConnection {

	private static final int MAX_HEADER_BYTES = 64 * 1024;

	/**
	 * Bytes of a request that the operating system may buffer. A request counts as
	 * written once the last of its bytes is in that buffer, so that a large buffer would
	 * hide that the server has not read it.
	 */
	private static final MemSize SEND_BUFFER_SIZE = MemSize.kilobytes(64);

	private static final SocketSettings SOCKET_SETTINGS = SocketSettings.builder()
		.withSendBufferSize(SEND_BUFFER_SIZE)
		.build();

	private final TcpSocket socket;

	private final InetSocketAddress address;

	private final DecisionLog log;

	private final LongSupplier monotonicMillis;

	private final HttpMessageCodec codec = HttpMessageCodec.client(MAX_HEADER_BYTES);

	private final Runnable onIdleClosed;

	private final CarriedRequests carriedRequests = new CarriedRequests();

	private ResponseListener listener;

	private String requestId;

	private boolean responseInProgress;

	private boolean skippingResponse;

	private SkippedResponses skipped;

	/** Data of a chunked body that is not passed on yet. */
	private final HeldChunk heldChunk = new HeldChunk();

	private boolean chunked;

	/** Search for another response in a body with a length, or null. */
	private TextSearch otherResponseSearch;

	/** Whether no decoded part follows the one in progress. */
	private boolean lastDecodedPart;

	private boolean reusable = true;

	private boolean closed;

	private boolean writeInProgress;

	private boolean paused;

	private boolean readPending;

	/** Whether the connection has carried a request before the one in flight. */
	private boolean reused;

	private final KeepAlive keepAlive = new KeepAlive();

	private ClientConnection(TcpSocket socket, InetSocketAddress address, DecisionLog log, LongSupplier monotonicMillis,
			Runnable onIdleClosed) {
		this.socket = socket;
		this.address = address;
		this.log = log;
		this.monotonicMillis = monotonicMillis;
		this.onIdleClosed = onIdleClosed;
	}

	/**
	 * Opens a connection.
	 * @param reactor the event loop
	 * @param address address of the server
	 * @param timeout longest time to establish the connection
	 * @param monotonicMillis source of the monotonic time in milliseconds
	 * @param log receives a line when surplus input of the server is skipped or ends the
	 * connection
	 * @param onIdleClosed called when the connection fails or ends while it carries no
	 * request
	 * @param onResult receives the connection, or null and the failure
	 */
	static void open(NioReactor reactor, InetSocketAddress address, Duration timeout, LongSupplier monotonicMillis,
			DecisionLog log, Consumer<ClientConnection> onIdleClosed,
			BiConsumer<ClientConnection, Exception> onResult) {
		TcpSocket.connect(reactor, address, timeout, SOCKET_SETTINGS).subscribe((socket, failure) -> {
			if (failure != null) {
				onResult.accept(null, failure);
				return;
			}
			ClientConnection[] connection = new ClientConnection[1];
			connection[0] = new ClientConnection(socket, address, log, monotonicMillis,
					() -> onIdleClosed.accept(connection[0]));
			connection[0].read();
			onResult.accept(connection[0], null);
		});
	}

	/**
	 * Sends a request.
	 * @param request the request; framing headers are set here
	 * @param requestId id by which responses name the request, or null if they name none
	 * @param responseListener receives the response
	 */
	void send(OutgoingRequest request, String requestId, ResponseListener responseListener) {
		this.listener = responseListener;
		this.requestId = requestId;
		if (requestId != null) {
			this.carriedRequests.add(requestId);
		}
		this.skipped = new SkippedResponses(requestId);
		request.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
		if (request.body().length > 0 || !request.method().equals(HttpMethod.GET.name())) {
			request.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
		}
		else {
			request.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
		}
		this.codec.answersHead(request.method().equals(HttpMethod.HEAD.name()));
		byte[] bytes = this.codec.encode(
				new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(request.method()), request.target(),
						Unpooled.wrappedBuffer(request.body()), request.headers(), new DefaultHttpHeaders()));
		this.writeInProgress = true;
		this.socket.write(ByteBuf.wrapForReading(bytes)).subscribe((done, failure) -> {
			this.writeInProgress = false;
			if (failure != null) {
				fail("write failed: " + failure.getMessage());
			}
		});
	}

	private void read() {
		this.readPending = true;
		this.socket.read().subscribe((buffer, failure) -> {
			this.readPending = false;
			if (this.closed) {
				if (buffer != null) {
					buffer.recycle();
				}
				return;
			}
			if (failure != null) {
				fail("connection lost: " + failure.getMessage());
			}
			else if (buffer == null) {
				onEndOfInput();
			}
			else if (this.listener == null) {
				logDiscarded("bytes without a request", buffer.readRemaining());
				buffer.recycle();
				fail("server sent bytes while no request was in flight");
			}
			else {
				onParts(this.codec.decode(buffer.asArray()));
				if (!this.closed && !this.paused) {
					read();
				}
			}
		});
	}

	private void onParts(List<HttpObject> parts) {
		for (int i = 0; i < parts.size(); i++) {
			HttpObject part = parts.get(i);
			if (!this.closed) {
				this.lastDecodedPart = i == parts.size() - 1;
				onPart(part);
			}
			ReferenceCountUtil.release(part);
		}
		this.heldChunk.releaseEnded();
		passOnHeldData();
		if (!this.closed && this.heldChunk.waiting()) {
			this.listener.onPartialChunk();
		}
	}

	// A server that ends its output before it has read the request may have given up, so
	// that a response without a length may be a part of one.
	private void onEndOfInput() {
		this.reusable = false;
		if (this.writeInProgress) {
			fail("connection closed by the server before the request was written");
			return;
		}
		onParts(this.codec.decodeEndOfInput());
		fail("connection closed by the server");
	}

	private void onPart(HttpObject part) {
		if (part.decoderResult().isFailure()) {
			passOnHeldData();
			fail("malformed response: " + part.decoderResult().cause().getMessage());
			return;
		}
		if (part instanceof HttpResponse response) {
			onHead(response);
		}
		if (part instanceof HttpContent content && !this.closed) {
			onContent(content);
		}
	}

	private void onHead(HttpResponse response) {
		this.responseInProgress = true;
		boolean informational = response.status().code() < 200;
		this.skippingResponse = informational || !this.listener.accepts(response);
		if (this.skippingResponse) {
			if (!informational) {
				this.log.write(LogEvent.RESPONSE_SKIPPED, "address", this.address, "request", this.requestId, "status",
						response.status().code());
			}
			failIfSet(this.skipped.begin());
			return;
		}
		this.reusable = HttpUtil.isKeepAlive(response) && this.listener.allowsReuse(response)
				&& (HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response));
		this.keepAlive.onHead(response.headers());
		this.chunked = HttpUtil.isTransferEncodingChunked(response);
		this.otherResponseSearch = HttpUtil.isContentLengthSet(response)
				? new TextSearch(HttpMessageCodec.STATUS_LINE_BEGINNING, HttpMessageCodec.STATUS_LINE_BEGINNING_LENGTH)
				: null;
		this.listener.onHead(response);
	}

	private void onContent(HttpContent content) {
		boolean last = content instanceof LastHttpContent;
		if (this.skippingResponse) {
			failIfSet(this.skipped.add(content));
		}
		else if (this.chunked) {
			this.heldChunk.add(content);
			if (last) {
				passOnHeldData();
			}
		}
		else if (content.content().isReadable()) {
			if (this.otherResponseSearch != null) {
				this.otherResponseSearch.add(content.content());
			}
			this.listener.onBody(ByteBufUtil.getBytes(content.content()));
		}
		if (last && !this.closed) {
			this.responseInProgress = false;
			if (!this.skippingResponse) {
				complete();
			}
			this.skippingResponse = false;
		}
	}

	private void passOnHeldData() {
		for (byte[] data = this.heldChunk.poll(); data != null && !this.closed; data = this.heldChunk.poll()) {
			this.listener.onBody(data);
		}
	}

	private void failIfSet(String reason) {
		if (reason != null) {
			fail(reason);
		}
	}

	private void complete() {
		boolean bytesFollow = !this.lastDecodedPart || this.codec.bytesBehindResponse() > 0;
		if (bytesFollow) {
			logDiscarded("bytes after a complete response",
					this.lastDecodedPart ? this.codec.bytesBehindResponse() : -1);
			if (bodyHoldsOtherResponse() || this.reused && this.requestId == null) {
				fail("bytes after a complete response, which may hold or be another one");
				return;
			}
		}
		ResponseListener completedListener = this.listener;
		this.listener = null;
		this.paused = false;
		this.reused = true;
		this.keepAlive.onIdle(this.monotonicMillis.getAsLong());
		if (!this.reusable || this.writeInProgress || bytesFollow) {
			close();
		}
		completedListener.onComplete();
	}

	// A truncated body takes its missing bytes from the next response, whose rest then
	// follows.
	private boolean bodyHoldsOtherResponse() {
		return this.otherResponseSearch != null && this.otherResponseSearch.foundWith(this.codec.textBehindResponse());
	}

	private void logDiscarded(String reason, int length) {
		this.log.write(LogEvent.CONNECTION_DISCARDED, "address", this.address, "reason", reason, "bytes", length);
	}

	private void fail(String reason) {
		if (this.closed) {
			return;
		}
		ResponseListener failedListener = this.listener;
		this.listener = null;
		close();
		if (failedListener != null) {
			failedListener.onFailure(reason);
		}
		else {
			this.onIdleClosed.run();
		}
	}

	/**
	 * Stops reading until {@link #resume()}, which applies backpressure to the server.
	 */
	public void pause() {
		this.paused = true;
	}

	/**
	 * Resumes reading after {@link #pause()}.
	 */
	public void resume() {
		if (this.paused) {
			this.paused = false;
			if (!this.closed && !this.readPending) {
				read();
			}
		}
	}

	/**
	 * Returns whether the connection may carry another request.
	 * @param now monotonic time in milliseconds
	 * @param maxIdleMillis longest idle time in milliseconds
	 * @return true if the connection is open and idle, and neither {@code maxIdleMillis}
	 * nor the idle timeout of the server has elapsed
	 */
	boolean usable(long now, long maxIdleMillis) {
		return !this.closed && this.listener == null && !this.responseInProgress
				&& this.keepAlive.lasts(now, maxIdleMillis);
	}

	/** Reads what has arrived while the connection was idle, which closes it. */
	void readPendingInput() {
		if (!this.closed && this.readPending) {
			this.socket.onReadReady();
		}
	}

	/**
	 * Returns whether the connection may have carried a request before.
	 * @param requestId id of the request, or null for a request without one
	 * @return false if it certainly has not
	 */
	boolean hasCarried(String requestId) {
		return requestId != null && this.carriedRequests.contains(requestId);
	}

	boolean closed() {
		return this.closed;
	}

	boolean writeInProgress() {
		return this.writeInProgress;
	}

	/**
	 * Closes the connection without notifying the listener. This cancels the request that
	 * the server may still be processing.
	 */
	public void close() {
		if (!this.closed) {
			this.closed = true;
			this.listener = null;
			this.socket.close();
			this.codec.release();
		}
	}

}
