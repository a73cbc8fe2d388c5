package carawayswitch.http;

import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpContent;

/**
 * Responses that a connection skips before the one to the request in flight:
 * informational ones and those to other requests. Invariant: their number and the bytes
 * of their bodies are bounded, but not the time. Not thread-safe.
 */
final class SkippedResponses {

	private static final int MAX_RESPONSES = 32;

	private static final int MAX_BYTES = 1024 * 1024;

	/** End of the header that names the request in flight, or null if none does. */
	private final String requestIdHeaderEnd;

	private int responses;

	private int bytes;

	/** Search for the id of the request in the body in progress, or null. */
	private TextSearch requestIdSearch;

	/**
	 * Creates the state for one request.
	 * @param requestId id by which responses name the request, or null if they name none
	 */
	SkippedResponses(String requestId) {
		this.requestIdHeaderEnd = (requestId != null && !requestId.isEmpty()) ? ": " + requestId + "\r\n" : null;
	}

	/**
	 * Counts a response to skip.
	 * @return the reason why the response in flight will not come, or null
	 */
	String begin() {
		this.requestIdSearch = (this.requestIdHeaderEnd != null) ? new TextSearch(
				Pattern.compile(Pattern.quote(this.requestIdHeaderEnd)), this.requestIdHeaderEnd.length()) : null;
		return (++this.responses > MAX_RESPONSES)
				? "more than " + MAX_RESPONSES + " responses before that to the request" : null;
	}

	/**
	 * Counts a part of the body. A response that broke off takes the next one for its
	 * body, which then holds the header with the id.
	 * @param content the part
	 * @return the reason why the response in flight will not come, or null
	 */
	String add(HttpContent content) {
		this.bytes += content.content().readableBytes();
		if (this.bytes > MAX_BYTES) {
			return "more than " + MAX_BYTES + " bytes before the response to the request";
		}
		if (this.requestIdSearch == null) {
			return null;
		}
		this.requestIdSearch.add(content.content());
		return this.requestIdSearch.found() ? "the response to the request came within a response to another one"
				: null;
	}

}
