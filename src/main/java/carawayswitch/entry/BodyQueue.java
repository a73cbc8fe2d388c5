package carawayswitch.entry;

import java.util.ArrayDeque;
import java.util.Deque;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.AbstractChannelSupplier;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;

/**
 * Queue of the chunks of a streamed response body, between the answer and the caller's
 * connection. Confined to the thread of the request.
 */
final class BodyQueue extends AbstractChannelSupplier<ByteBuf> {

	/** Maximum number of bytes queued for a slow caller. */
	static final long MAX_QUEUED_BYTES = 4L * 1024 * 1024;

	private final Deque<ByteBuf> chunks = new ArrayDeque<>();

	private final Runnable onCallerDisconnected;

	private SettablePromise<ByteBuf> pendingRead;

	private long queuedBytes;

	private boolean ended;

	private Exception failure;

	private boolean closed;

	BodyQueue(Runnable onCallerDisconnected) {
		this.onCallerDisconnected = onCallerDisconnected;
	}

	/**
	 * Adds a chunk. Chunks are ignored after the end of the body and after the caller's
	 * connection is closed.
	 * @param chunk bytes of the chunk
	 * @return false if more than {@link #MAX_QUEUED_BYTES} are queued
	 */
	boolean add(byte[] chunk) {
		if (this.closed || this.ended) {
			return true;
		}
		ByteBuf buffer = ByteBuf.wrapForReading(chunk);
		if (this.pendingRead != null) {
			completePendingRead(buffer);
			return true;
		}
		this.chunks.add(buffer);
		this.queuedBytes += chunk.length;
		return this.queuedBytes <= MAX_QUEUED_BYTES;
	}

	void end() {
		this.ended = true;
		if (this.pendingRead != null) {
			completePendingRead(null);
		}
	}

	/**
	 * Fails the body after the chunks queued so far, which closes the connection, so that
	 * no caller takes the answer for complete.
	 * @param reason why the answer is incomplete
	 */
	void fail(Exception reason) {
		this.ended = true;
		this.failure = reason;
		if (this.pendingRead != null) {
			SettablePromise<ByteBuf> promise = this.pendingRead;
			this.pendingRead = null;
			promise.setException(reason);
		}
	}

	private void completePendingRead(ByteBuf chunk) {
		SettablePromise<ByteBuf> promise = this.pendingRead;
		this.pendingRead = null;
		promise.set(chunk);
	}

	@Override
	protected Promise<ByteBuf> doGet() {
		ByteBuf chunk = this.chunks.poll();
		if (chunk != null) {
			this.queuedBytes -= chunk.readRemaining();
			return Promise.of(chunk);
		}
		if (this.failure != null) {
			return Promise.ofException(this.failure);
		}
		if (this.ended) {
			return Promise.of(null);
		}
		this.pendingRead = new SettablePromise<>();
		return this.pendingRead;
	}

	@Override
	protected void onClosed(Exception reason) {
		this.closed = true;
		this.chunks.clear();
		if (!this.ended) {
			this.onCallerDisconnected.run();
		}
	}

}
