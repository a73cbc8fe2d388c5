package carawayswitch.http;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Data of a chunked body that is not passed on yet. A chunk that broke off is filled up
 * with the bytes behind it, which only its end and what follows it tell. Invariants: data
 * of a chunk waits for its end, and for what was read together with the end; of a larger
 * chunk the last {@link #MAX_BYTES} wait, so that memory is bounded and no byte of
 * another response is passed on unless it is followed by as many. Not thread-safe.
 */
final class HeldChunk {

	/** Number of bytes that wait; far more than the events of engines have. */
	static final int MAX_BYTES = 64 * 1024;

	private final Deque<byte[]> parts = new ArrayDeque<>();

	private int bytes;

	/** Bytes of chunks that have ended. */
	private int releasedBytes;

	private boolean ended;

	/**
	 * Adds a part of the body. Unless it is an empty end of a chunk, it proves that the
	 * chunk before it was sound.
	 * @param content data of a chunk or the end of the body
	 */
	void add(HttpContent content) {
		int length = content.content().readableBytes();
		if (length > 0 || content instanceof LastHttpContent) {
			releaseEnded();
		}
		if (length > 0) {
			this.parts.add(ByteBufUtil.getBytes(content.content()));
			this.bytes += length;
		}
		this.ended = content instanceof EndOfChunk;
	}

	/** Releases the data of the chunk in progress if it has ended. */
	void releaseEnded() {
		if (this.ended) {
			this.releasedBytes = this.bytes;
			this.ended = false;
		}
	}

	boolean waiting() {
		return this.bytes > 0;
	}

	/**
	 * Takes data that need not wait.
	 * @return the data, or null if there is none
	 */
	byte[] poll() {
		if (this.releasedBytes > 0) {
			return pollReleased();
		}
		byte[] first = this.parts.peek();
		if (first == null || this.bytes - first.length < MAX_BYTES) {
			return null;
		}
		this.bytes -= first.length;
		return this.parts.poll();
	}

	// Joins the data of small chunks, each of which would cost a call.
	private byte[] pollReleased() {
		ByteBuffer joined = ByteBuffer.allocate(this.releasedBytes);
		while (joined.hasRemaining()) {
			joined.put(this.parts.poll());
		}
		this.bytes -= this.releasedBytes;
		this.releasedBytes = 0;
		return joined.array();
	}

}
