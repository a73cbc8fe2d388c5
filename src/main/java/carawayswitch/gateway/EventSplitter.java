package carawayswitch.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Splits a stream of events at their ends, so that a stream which breaks off is passed on
 * up to its last whole event. Not safe for use by several threads.
 */
final class EventSplitter {

	private static final String ID_FIELD = "id:";

	private final ByteArrayOutputStream partial = new ByteArrayOutputStream();

	private String lastId;

	private int events;

	private byte previous;

	/**
	 * Takes in bytes.
	 * @param bytes the bytes
	 * @return the events that are complete now, possibly none
	 */
	byte[] add(byte[] bytes) {
		int end = -1;
		for (int i = 0; i < bytes.length; i++) {
			byte current = bytes[i];
			if (current == '\r') {
				continue;
			}
			if (current == '\n' && this.previous == '\n') {
				end = i + 1;
				this.events++;
			}
			this.previous = current;
		}
		if (end < 0) {
			this.partial.write(bytes, 0, bytes.length);
			return new byte[0];
		}
		this.partial.write(bytes, 0, end);
		byte[] whole = this.partial.toByteArray();
		this.partial.reset();
		this.partial.write(bytes, end, bytes.length - end);
		noteLastId(whole);
		return whole;
	}

	private void noteLastId(byte[] whole) {
		String text = "\n" + new String(whole, StandardCharsets.UTF_8);
		int field = text.lastIndexOf("\n" + ID_FIELD);
		if (field >= 0) {
			int start = field + 1 + ID_FIELD.length();
			int end = text.indexOf('\n', start);
			this.lastId = text.substring(start, (end < 0) ? text.length() : end).trim();
		}
	}

	/** Forgets an event that has begun and not ended. */
	void dropPartial() {
		this.partial.reset();
		this.previous = 0;
	}

	/**
	 * Returns whether an event has begun and not ended.
	 * @return true if bytes are left over
	 */
	boolean partial() {
		return this.partial.size() > 0;
	}

	/**
	 * Returns the id of the last whole event.
	 * @return the id, or null
	 */
	String lastId() {
		return this.lastId;
	}

	int events() {
		return this.events;
	}

}
