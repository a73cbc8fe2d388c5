package carawayswitch.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Splits a stream of server-sent events at event boundaries, so that a broken stream is
 * forwarded up to its last complete event. Not safe for use by several threads.
 */
final class EventStreamSplitter {

	private static final String ID_FIELD = "id:";

	private final ByteArrayOutputStream incompleteEvent = new ByteArrayOutputStream();

	private String lastEventId;

	private int eventCount;

	private byte previousByte;

	/**
	 * Appends bytes of the stream.
	 * @param bytes the bytes
	 * @return the bytes of all events that are now complete, or an empty array
	 */
	byte[] add(byte[] bytes) {
		int end = -1;
		for (int i = 0; i < bytes.length; i++) {
			byte currentByte = bytes[i];
			if (currentByte == '\r') {
				continue;
			}
			if (currentByte == '\n' && this.previousByte == '\n') {
				end = i + 1;
				this.eventCount++;
			}
			this.previousByte = currentByte;
		}
		if (end < 0) {
			this.incompleteEvent.write(bytes, 0, bytes.length);
			return new byte[0];
		}
		this.incompleteEvent.write(bytes, 0, end);
		byte[] completeEvents = this.incompleteEvent.toByteArray();
		this.incompleteEvent.reset();
		this.incompleteEvent.write(bytes, end, bytes.length - end);
		updateLastEventId(completeEvents);
		return completeEvents;
	}

	private void updateLastEventId(byte[] completeEvents) {
		String text = "\n" + new String(completeEvents, StandardCharsets.UTF_8);
		int field = text.lastIndexOf("\n" + ID_FIELD);
		if (field >= 0) {
			int start = field + 1 + ID_FIELD.length();
			int end = text.indexOf('\n', start);
			this.lastEventId = text.substring(start, (end < 0) ? text.length() : end).trim();
		}
	}

	/** Discards the bytes of an incomplete event. */
	void discardIncompleteEvent() {
		this.incompleteEvent.reset();
		this.previousByte = 0;
	}

	/**
	 * Returns whether the last event is incomplete.
	 * @return true if bytes of an incomplete event are buffered
	 */
	boolean hasIncompleteEvent() {
		return this.incompleteEvent.size() > 0;
	}

	int incompleteBytes() {
		return this.incompleteEvent.size();
	}

	/**
	 * Returns the id of the last complete event that has one.
	 * @return the id, or null if there is none
	 */
	String lastEventId() {
		return this.lastEventId;
	}

	/**
	 * Returns the id of the last event that the client has received, also in an earlier
	 * attempt of its own.
	 * @param earlierId id of the last event of the earlier attempt, or null
	 * @return the id, or "null" if there is none
	 */
	String lastEventIdOr(String earlierId) {
		return String.valueOf((this.lastEventId != null) ? this.lastEventId : earlierId);
	}

	int eventCount() {
		return this.eventCount;
	}

}
