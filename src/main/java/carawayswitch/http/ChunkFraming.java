package carawayswitch.http;

import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;

/**
 * Follows the framing of one chunked body through the bytes that the decoder consumes,
 * since the decoder does not tell where a chunk ends. A size line that is no valid one as
 * a whole is refused; the decoder stops at the end of the number. Not thread-safe.
 */
final class ChunkFraming {

	private static final int LINE_END_LENGTH = 2;

	/** Most digits of a size that fits a long. */
	private static final int MAX_DIGITS = 15;

	private static final Pattern EXTENSIONS = Pattern.compile("[ \\t]*(;[^\\r]*)?\\r?");

	/** Size and number of its digits, as far as the size line was consumed. */
	private long size;

	private int sizeDigits;

	/** What follows the digits on the size line. */
	private final StringBuilder restOfSizeLine = new StringBuilder();

	/** Bytes of the chunk in progress, with its line end, that are not consumed yet. */
	private long remainingBytes;

	private boolean inTrailer;

	/**
	 * Returns whether unread bytes may follow what has been consumed. The decoder would
	 * wait for the end of the size line.
	 * @param unread the unread bytes
	 * @return false if a size line is expected and the bytes are no beginning of one
	 */
	boolean mayContinueWith(ByteBuf unread) {
		if (this.inTrailer || this.remainingBytes > 0 || this.sizeDigits > 0) {
			return true;
		}
		int index = unread.readerIndex();
		while (index < unread.writerIndex() && Character.digit(unread.getByte(index), 16) >= 0) {
			index++;
		}
		return index == unread.writerIndex()
				|| index > unread.readerIndex() && " \t;\r\n".indexOf(unread.getByte(index)) >= 0;
	}

	/**
	 * Follows consumed bytes.
	 * @param buffer holds the bytes
	 * @param from index of the first byte that was consumed
	 * @param to index behind the last byte that was consumed
	 * @return true if a chunk that is not the last one ended
	 * @throws IllegalArgumentException if a size line is invalid
	 */
	boolean consume(ByteBuf buffer, int from, int to) {
		boolean chunkEnded = false;
		int index = from;
		while (index < to && !this.inTrailer) {
			if (this.remainingBytes > 0) {
				int length = (int) Math.min(this.remainingBytes, to - index);
				this.remainingBytes -= length;
				index += length;
				chunkEnded = this.remainingBytes == 0;
			}
			else {
				addToSizeLine(buffer.getByte(index++));
			}
		}
		return chunkEnded;
	}

	private void addToSizeLine(byte character) {
		int digit = Character.digit(character, 16);
		if (digit >= 0 && this.restOfSizeLine.isEmpty()) {
			this.size = (this.size << 4) | digit;
			this.sizeDigits++;
		}
		else if (character == '\n') {
			onSizeLine();
		}
		else {
			this.restOfSizeLine.append((char) (character & 0xff));
		}
	}

	private void onSizeLine() {
		boolean plain = this.restOfSizeLine.length() == 1 && this.restOfSizeLine.charAt(0) == '\r';
		if (this.sizeDigits == 0 || this.sizeDigits > MAX_DIGITS || !plain && !validRest()) {
			throw new IllegalArgumentException("invalid size line of a chunk");
		}
		this.inTrailer = this.size == 0;
		this.remainingBytes = (this.size > 0) ? this.size + LINE_END_LENGTH : 0;
		this.size = 0;
		this.sizeDigits = 0;
		this.restOfSizeLine.setLength(0);
	}

	private boolean validRest() {
		return EXTENSIONS.matcher(this.restOfSizeLine).matches()
				&& HttpMessageCodec.isFromSingleHead(this.restOfSizeLine.toString().stripTrailing());
	}

}
