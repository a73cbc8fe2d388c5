package carawayswitch.standin;

import java.util.ArrayDeque;
import java.util.Deque;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.AbstractChannelSupplier;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;

/**
 * Body of an answer of an engine stand-in. Confined to the thread of the stand-in.
 */
final class EngineBody extends AbstractChannelSupplier<ByteBuf> {

	private final Deque<ByteBuf> pieces = new ArrayDeque<>();

	private SettablePromise<ByteBuf> waiting;

	private boolean ended;

	void add(byte[] piece) {
		this.pieces.add(ByteBuf.wrapForReading(piece));
		wake();
	}

	void end() {
		this.ended = true;
		wake();
	}

	private void wake() {
		if (this.waiting != null) {
			SettablePromise<ByteBuf> promise = this.waiting;
			this.waiting = null;
			promise.set(this.pieces.poll());
		}
	}

	@Override
	protected Promise<ByteBuf> doGet() {
		if (!this.pieces.isEmpty() || this.ended) {
			return Promise.of(this.pieces.poll());
		}
		this.waiting = new SettablePromise<>();
		return this.waiting;
	}

}
