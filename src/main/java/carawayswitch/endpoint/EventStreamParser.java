package carawayswitch.endpoint;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Splits an event stream into complete events and detects its {@code [DONE]} event. The
 * number of events is taken as the number of generated tokens. Not safe for use by
 * several threads.
 */
final class EventStreamParser {

	/** Event that terminates a complete answer. */
	static final String DONE_EVENT = "data: [DONE]\n\n";

	private static final byte[] DONE_EVENT_BYTES = DONE_EVENT.getBytes(StandardCharsets.UTF_8);

	private byte[] remainder = new byte[0];

	private boolean ended;

	/**
	 * Parses the next bytes of the stream. An incomplete event at their end is kept for
	 * the next call.
	 * @param chunk the next bytes of the stream
	 * @return complete events before the {@code [DONE]} event
	 */
	Events accept(byte[] chunk) {
		byte[] buffer = Arrays.copyOf(this.remainder, this.remainder.length + chunk.length);
		System.arraycopy(chunk, 0, buffer, this.remainder.length, chunk.length);
		int start = 0;
		int eventCount = 0;
		for (int i = 1; i < buffer.length && !this.ended; i++) {
			if (buffer[i] == '\n' && buffer[i - 1] == '\n') {
				this.ended = Arrays.equals(buffer, start, i + 1, DONE_EVENT_BYTES, 0, DONE_EVENT_BYTES.length);
				if (!this.ended) {
					start = i + 1;
					eventCount++;
				}
			}
		}
		this.remainder = Arrays.copyOfRange(buffer, start, buffer.length);
		return new Events(Arrays.copyOf(buffer, start), eventCount);
	}

	boolean ended() {
		return this.ended;
	}

	/**
	 * Complete events. Immutable.
	 *
	 * @param bytes the encoded events, unchanged
	 * @param count number of events
	 */
	record Events(byte[] bytes, int count) {

	}

}
