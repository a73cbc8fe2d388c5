package carawayswitch.entry;

import java.util.ArrayDeque;
import java.util.Deque;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.AbstractChannelSupplier;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;

/**
 * Body of a streamed answer. Confined to the thread of the request.
 */
final class BodyQueue extends AbstractChannelSupplier<ByteBuf> {

	/** Bytes that may wait for a slow caller. */
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
	 * Adds a piece.
	 * @param chunk the piece
	 * @return false if too many bytes wait for the caller
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
	 * Breaks the connection after the pieces so far, so that no caller takes the answer
	 * for whole.
	 * @param reason why the answer is not whole
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
