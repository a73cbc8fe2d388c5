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
final class EngineResponseBody extends AbstractChannelSupplier<ByteBuf> {

	private final Deque<ByteBuf> chunks = new ArrayDeque<>();

	private SettablePromise<ByteBuf> pendingRead;

	private boolean ended;

	void add(byte[] chunk) {
		this.chunks.add(ByteBuf.wrapForReading(chunk));
		completePendingRead();
	}

	void end() {
		this.ended = true;
		completePendingRead();
	}

	private void completePendingRead() {
		if (this.pendingRead != null) {
			SettablePromise<ByteBuf> promise = this.pendingRead;
			this.pendingRead = null;
			promise.set(this.chunks.poll());
		}
	}

	@Override
	protected Promise<ByteBuf> doGet() {
		if (!this.chunks.isEmpty() || this.ended) {
			return Promise.of(this.chunks.poll());
		}
		this.pendingRead = new SettablePromise<>();
		return this.pendingRead;
	}

}
