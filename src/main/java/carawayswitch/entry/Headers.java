package carawayswitch.entry;

import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;

/**
 * HTTP headers of the callers' API.
 */
final class Headers {

	/** Name of the profile that the caller selects. */
	static final HttpHeader PROFILE = HttpHeaders.of("X-Profile");

	/** Time until the deadline in milliseconds, set by the caller. */
	static final HttpHeader DEADLINE = HttpHeaders.of("X-Deadline-Ms");

	/** Idempotency key. */
	static final HttpHeader IDEMPOTENCY_KEY = HttpHeaders.of("Idempotency-Key");

	/** Id of the request. */
	static final HttpHeader REQUEST_ID = HttpHeaders.of("X-Request-Id");

	/** Id of the host that answered. */
	static final HttpHeader HOST = HttpHeaders.of("X-Entry-Host");

	/** Id of the endpoint that answered. */
	static final HttpHeader ENDPOINT = HttpHeaders.of("X-Endpoint");

	/** Outcome of the request. */
	static final HttpHeader OUTCOME = HttpHeaders.of("X-Outcome");

	private Headers() {
	}

}
