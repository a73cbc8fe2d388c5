package carawayswitch.http;

import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;

/**
 * Search for a pattern in bytes that come in parts, also where a match is split between
 * them. Not thread-safe.
 */
final class TextSearch {

	private final Pattern pattern;

	private final int matchLength;

	/** Last characters, fewer than a match has. */
	private String tail = "";

	private boolean found;

	/**
	 * Creates a search.
	 * @param pattern the pattern
	 * @param matchLength length of each match in characters
	 */
	TextSearch(Pattern pattern, int matchLength) {
		this.pattern = pattern;
		this.matchLength = matchLength;
	}

	/**
	 * Searches the next part.
	 * @param part bytes, which are not consumed
	 */
	void add(ByteBuf part) {
		add(part.toString(StandardCharsets.ISO_8859_1));
	}

	void add(String part) {
		String characters = this.tail + part;
		this.found |= this.pattern.matcher(characters).find();
		this.tail = characters.substring(Math.max(0, characters.length() - this.matchLength + 1));
	}

	boolean foundWith(String part) {
		add(part);
		return this.found;
	}

	boolean found() {
		return this.found;
	}

}
