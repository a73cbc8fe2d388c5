package carawayswitch.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.ITcpSocket;

/**
 * Writes to a socket and holds what the socket does not take yet. Passes on one buffer at
 * a time, since the socket would copy further ones into a pooled buffer of up to twice
 * their size, which stays allocated. Invariant: the held memory is
 * {@link #unwrittenBytes} beside a small part for each write. Confined to the thread of
 * the event loop.
 */
final class SocketWriter {

	/** Size in bytes up to which queued writes are joined. */
	private static final int MAX_JOINED_BYTES = 64 * 1024;

	private final ITcpSocket socket;

	private final Consumer<Exception> onWritten;

	private final Deque<byte[]> queue = new ArrayDeque<>();

	private long unwrittenBytes;

	private boolean writing;

	/** Whether {@link #writeQueued} runs, which a completed write need not call again. */
	private boolean draining;

	/**
	 * Creates a writer.
	 * @param socket the socket
	 * @param onWritten called after each write with the failure, or with null
	 */
	SocketWriter(ITcpSocket socket, Consumer<Exception> onWritten) {
		this.socket = socket;
		this.onWritten = onWritten;
	}

	void write(byte[] bytes) {
		this.unwrittenBytes += bytes.length;
		this.queue.add(bytes);
		writeQueued();
	}

	private void writeQueued() {
		if (this.draining) {
			return;
		}
		this.draining = true;
		try {
			while (!this.writing && !this.queue.isEmpty()) {
				writeNow(nextBuffer());
			}
		}
		finally {
			this.draining = false;
		}
	}

	private void writeNow(byte[] bytes) {
		this.writing = true;
		this.socket.write(ByteBuf.wrapForReading(bytes)).subscribe((done, failure) -> {
			this.writing = false;
			this.unwrittenBytes -= bytes.length;
			if (failure != null) {
				discard();
			}
			writeQueued();
			this.onWritten.accept(failure);
		});
	}

	// A stream of small events has a write for each, which would each be a system call.
	private byte[] nextBuffer() {
		byte[] first = this.queue.poll();
		int length = first.length;
		int count = 0;
		for (byte[] next : this.queue) {
			if (length + next.length > MAX_JOINED_BYTES) {
				break;
			}
			length += next.length;
			count++;
		}
		if (count == 0) {
			return first;
		}
		byte[] joined = new byte[length];
		System.arraycopy(first, 0, joined, 0, first.length);
		int position = first.length;
		for (int i = 0; i < count; i++) {
			byte[] next = this.queue.poll();
			System.arraycopy(next, 0, joined, position, next.length);
			position += next.length;
		}
		return joined;
	}

	/** Drops what the socket has not been given. */
	void discard() {
		this.queue.forEach((bytes) -> this.unwrittenBytes -= bytes.length);
		this.queue.clear();
	}

	long unwrittenBytes() {
		return this.unwrittenBytes;
	}

}
