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
	static final long MAX_BYTES = 4L * 1024 * 1024;

	private final Deque<ByteBuf> pieces = new ArrayDeque<>();

	private final Runnable onCallerGone;

	private SettablePromise<ByteBuf> waiting;

	private long bytes;

	private boolean ended;

	private Exception failure;

	private boolean closed;

	BodyQueue(Runnable onCallerGone) {
		this.onCallerGone = onCallerGone;
	}

	/**
	 * Adds a piece.
	 * @param piece the piece
	 * @return false if too many bytes wait for the caller
	 */
	boolean add(byte[] piece) {
		if (this.closed || this.ended) {
			return true;
		}
		ByteBuf buffer = ByteBuf.wrapForReading(piece);
		if (this.waiting != null) {
			complete(buffer);
			return true;
		}
		this.pieces.add(buffer);
		this.bytes += piece.length;
		return this.bytes <= MAX_BYTES;
	}

	void end() {
		this.ended = true;
		if (this.waiting != null) {
			complete(null);
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
		if (this.waiting != null) {
			SettablePromise<ByteBuf> promise = this.waiting;
			this.waiting = null;
			promise.setException(reason);
		}
	}

	private void complete(ByteBuf piece) {
		SettablePromise<ByteBuf> promise = this.waiting;
		this.waiting = null;
		promise.set(piece);
	}

	@Override
	protected Promise<ByteBuf> doGet() {
		ByteBuf piece = this.pieces.poll();
		if (piece != null) {
			this.bytes -= piece.readRemaining();
			return Promise.of(piece);
		}
		if (this.failure != null) {
			return Promise.ofException(this.failure);
		}
		if (this.ended) {
			return Promise.of(null);
		}
		this.waiting = new SettablePromise<>();
		return this.waiting;
	}

	@Override
	protected void onClosed(Exception reason) {
		this.closed = true;
		this.pieces.clear();
		if (!this.ended) {
			this.onCallerGone.run();
		}
	}

}
