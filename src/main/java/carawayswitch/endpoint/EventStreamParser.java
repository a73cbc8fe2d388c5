package carawayswitch.endpoint;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Splits an event stream into whole events and finds its end mark. Counts one token for
 * each data event. Not safe for use by several threads.
 */
final class EventStreamParser {

	/** Data of the event that ends a whole answer. */
	static final String END_MARK = "data: [DONE]\n\n";

	private static final byte[] END_BYTES = END_MARK.getBytes(StandardCharsets.UTF_8);

	private byte[] rest = new byte[0];

	private boolean ended;

	/**
	 * Takes in bytes.
	 * @param bytes the next bytes of the stream
	 * @return whole events before the end mark
	 */
	Events accept(byte[] bytes) {
		byte[] joined = Arrays.copyOf(this.rest, this.rest.length + bytes.length);
		System.arraycopy(bytes, 0, joined, this.rest.length, bytes.length);
		int start = 0;
		int events = 0;
		for (int i = 1; i < joined.length && !this.ended; i++) {
			if (joined[i] == '\n' && joined[i - 1] == '\n') {
				this.ended = Arrays.equals(joined, start, i + 1, END_BYTES, 0, END_BYTES.length);
				if (!this.ended) {
					start = i + 1;
					events++;
				}
			}
		}
		this.rest = Arrays.copyOfRange(joined, start, joined.length);
		return new Events(Arrays.copyOf(joined, start), events);
	}

	boolean ended() {
		return this.ended;
	}

	/**
	 * Whole events. Immutable.
	 *
	 * @param bytes the events as received
	 * @param count number of events
	 */
	record Events(byte[] bytes, int count) {

	}

}
