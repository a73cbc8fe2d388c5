package carawayswitch.transport;

import java.util.concurrent.atomic.LongAdder;

import carawayswitch.message.Message;

/**
 * Counts the bytes and frames exchanged with other hosts. Safe for use by several
 * threads.
 */
public final class TrafficCounter {

	private final LongAdder sentBytes = new LongAdder();

	private final LongAdder receivedBytes = new LongAdder();

	private final LongAdder frames = new LongAdder();

	private volatile TrafficListener listener = (peer, message, bytes) -> {
	};

	/**
	 * Sets the listener that receives the size of each sent frame.
	 * @param newListener the listener
	 */
	public void listener(TrafficListener newListener) {
		this.listener = newListener;
	}

	void recordSent(String peer, Message message, int bytes) {
		this.sentBytes.add(bytes);
		this.frames.increment();
		this.listener.onSent(peer, message, bytes);
	}

	void recordReceived(int bytes) {
		this.receivedBytes.add(bytes);
		this.frames.increment();
	}

	/**
	 * Returns the number of bytes sent.
	 * @return number of bytes
	 */
	public long sentBytes() {
		return this.sentBytes.sum();
	}

	/**
	 * Returns the number of bytes received.
	 * @return number of bytes
	 */
	public long receivedBytes() {
		return this.receivedBytes.sum();
	}

	/**
	 * Returns the number of frames sent and received.
	 * @return number of frames
	 */
	public long frames() {
		return this.frames.sum();
	}

}
