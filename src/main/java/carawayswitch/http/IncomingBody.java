package carawayswitch.http;

import java.util.Arrays;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

import io.netty.buffer.ByteBuf;

/**
 * Body of a request while it is received. A body for which there is no memory is read and
 * dropped, so that the connection stays usable. Invariants: the memory that the body
 * takes is reserved; a body whose length is known and of which half has arrived is
 * reserved as a whole; a body waits for memory only for a limited time and only while a
 * less urgent request holds some, so that no two of them can block each other. Confined
 * to the thread of its event loop.
 */
final class IncomingBody {

	private static final byte[] EMPTY = new byte[0];

	private static final int MIN_BUFFER_BYTES = 1024;

	/** Least bytes that are reserved with the first part of a body of known length. */
	private static final int MIN_STEP_BYTES = 16 * 1024;

	private final RequestBodyBudget budget;

	private final IntSupplier urgencySource;

	/** Urgency of the request, or 0 if it is not known to have any. */
	private int knownUrgency;

	private final LongSupplier roomWaitMillis;

	/** Time until which the body may wait for memory, or -1 before it lacked any. */
	private long roomWaitUntil = -1;

	private final long contentLength;

	private long reservedBytes;

	private byte[] buffer = EMPTY;

	private int receivedBytes;

	private boolean refused;

	/**
	 * Begins to receive a body that never waits for memory.
	 * @param budget budget of the memory
	 * @param contentLength length that the head states in bytes, or -1 if it states none
	 * @param urgency supplies the urgency of the request
	 */
	IncomingBody(RequestBodyBudget budget, long contentLength, IntSupplier urgency) {
		this(budget, contentLength, urgency, () -> 0);
	}

	/**
	 * Begins to receive a body.
	 * @param budget budget of the memory
	 * @param contentLength length that the head states in bytes, or -1 if it states none
	 * @param urgency supplies the urgency of the request
	 * @param roomWaitMillis supplies the time in milliseconds for which the body may wait
	 * for memory
	 */
	IncomingBody(RequestBodyBudget budget, long contentLength, IntSupplier urgency, LongSupplier roomWaitMillis) {
		this.budget = budget;
		this.contentLength = contentLength;
		this.urgencySource = urgency;
		this.roomWaitMillis = roomWaitMillis;
	}

	/**
	 * Returns the urgency of the request, which does not change once it is known: 0 may
	 * mean that the host has no configuration yet.
	 * @return the urgency
	 */
	int urgency() {
		if (this.knownUrgency == 0) {
			this.knownUrgency = this.urgencySource.getAsInt();
		}
		return this.knownUrgency;
	}

	/**
	 * Reserves memory for the next part, and returns whether the part is to be held back
	 * since there may be memory soon.
	 * @param length length of the part in bytes
	 * @param now monotonic time in milliseconds
	 * @return false if the part is to be appended now
	 */
	boolean awaitsRoom(int length, long now) {
		long bytes = bytesToReserve(this.receivedBytes + (long) length);
		if (length == 0 || this.refused || bytes <= this.reservedBytes) {
			return false;
		}
		if (this.budget.tryReserve(bytes - this.reservedBytes, this::urgency)) {
			this.reservedBytes = bytes;
			return false;
		}
		if (this.roomWaitUntil < 0) {
			this.roomWaitUntil = now + this.roomWaitMillis.getAsLong();
		}
		return !roomWaitOver(now) && this.budget.roomExpected(Math.max(this.contentLength, bytes), urgency());
	}

	/**
	 * Returns whether the body has waited for memory for as long as it may.
	 * @param now monotonic time in milliseconds
	 * @return true if it is not to wait any longer
	 */
	boolean roomWaitOver(long now) {
		return this.roomWaitUntil >= 0 && now >= this.roomWaitUntil;
	}

	private void reserve(long bytes) {
		if (bytes <= this.reservedBytes || this.refused) {
			return;
		}
		if (this.budget.reserve(bytes - this.reservedBytes, this::urgency)) {
			this.reservedBytes = bytes;
		}
		else {
			drop();
		}
	}

	/**
	 * Releases the memory of the body, of which the rest is read and dropped.
	 */
	void drop() {
		this.refused = true;
		this.buffer = EMPTY;
		release();
	}

	long reservedBytes() {
		return this.reservedBytes;
	}

	// Reserves as much again as has arrived, so that clients that state a long body and
	// send little of it leave the memory to others.
	private long bytesToReserve(long arrivedBytes) {
		return (this.contentLength < 0) ? arrivedBytes
				: Math.min(this.contentLength, Math.max(MIN_STEP_BYTES, 2 * arrivedBytes));
	}

	void append(ByteBuf content) {
		int length = content.readableBytes();
		if (length > 0) {
			reserve(bytesToReserve(this.receivedBytes + (long) length));
		}
		if (!this.refused && length > 0) {
			ensureCapacity(this.receivedBytes + length);
			content.readBytes(this.buffer, this.receivedBytes, length);
		}
		this.receivedBytes += length;
	}

	private void ensureCapacity(int bytes) {
		if (bytes > this.buffer.length) {
			long capacity = (this.contentLength >= bytes) ? this.reservedBytes
					: Math.max(MIN_BUFFER_BYTES, bytes + (long) this.buffer.length / 2);
			this.buffer = Arrays.copyOf(this.buffer, Math.toIntExact(capacity));
		}
	}

	int receivedBytes() {
		return this.receivedBytes;
	}

	/**
	 * Returns how long a body is for which there was no memory.
	 * @return length in bytes as far as it is known, or 0 if the body was not dropped
	 */
	long droppedBytes() {
		return this.refused ? Math.max(this.contentLength, this.receivedBytes) : 0;
	}

	/**
	 * Returns the complete body. What is reserved for it is released by its receiver.
	 * @return the body, or an empty array if it was refused
	 */
	byte[] complete() {
		byte[] bytes = this.refused ? EMPTY : this.buffer;
		int length = this.refused ? 0 : this.receivedBytes;
		this.buffer = EMPTY;
		return (bytes.length == length) ? bytes : Arrays.copyOf(bytes, length);
	}

	/** Releases what is reserved. */
	void release() {
		this.budget.release(this.reservedBytes);
		this.reservedBytes = 0;
	}

}
