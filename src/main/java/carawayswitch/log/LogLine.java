package carawayswitch.log;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parsed line of the structured log. Immutable.
 *
 * @param event name of the event
 * @param atMillis time of the event in milliseconds since the epoch, or -1 if the line
 * has none
 * @param values all other keys and values in the order of the line
 */
public record LogLine(String event, long atMillis, Map<String, String> values) {

	private static final Pattern KEY_VALUE = Pattern.compile("([a-z_]+)=(\"(?:[^\"\\\\]|\\\\.)*\"|\\S*)");

	/**
	 * Parses a line. Text before the event, such as a prefix added by a log collector, is
	 * skipped.
	 * @param text the line
	 * @return the parsed line, or empty if the text contains no event
	 */
	public static Optional<LogLine> parse(String text) {
		int start = text.indexOf("event=");
		if (start < 0) {
			return Optional.empty();
		}
		Map<String, String> values = new LinkedHashMap<>();
		Matcher pairs = KEY_VALUE.matcher(text);
		for (int from = start; pairs.find(from); from = pairs.end()) {
			values.put(pairs.group(1), unquote(pairs.group(2)));
		}
		String event = values.remove("event");
		String atText = values.remove("at_ms");
		return Optional.of(new LogLine(event,
				(atText != null && atText.matches("\\d{1,18}")) ? Long.parseLong(atText) : -1, values));
	}

	private static String unquote(String value) {
		boolean quoted = value.length() >= 2 && value.startsWith("\"") && value.endsWith("\"");
		return quoted ? value.substring(1, value.length() - 1).replace("\\\"", "\"").replace("\\\\", "\\") : value;
	}

	/**
	 * Returns whether the line concerns a request or one of its attempts.
	 * @param requestId id of the request
	 * @return true if the line names the request or one of its attempts
	 */
	public boolean concerns(String requestId) {
		String request = this.values.getOrDefault("request", "");
		return request.equals(requestId) || request.startsWith(requestId + "#");
	}

}
