package carawayswitch.outcome;

import java.util.Locale;

/**
 * Kinds of errors, each with its HTTP status, outcome, retry advice and message. The list
 * is closed. Immutable.
 */
public enum ErrorKind {

	/** The request is malformed. */
	BAD_REQUEST(400, Outcome.NOT_RUN, false, "the request is malformed"),

	/** The body is not valid JSON or lacks a required field. */
	BAD_JSON(400, Outcome.NOT_RUN, false, "the body is not the expected JSON"),

	/** The idempotency key is not a UUID of version 7, or its time is in the future. */
	BAD_IDEMPOTENCY_KEY(400, Outcome.NOT_RUN, false, "Idempotency-Key must be a UUID of version 7"),

	/** The bearer token is missing or unknown. */
	UNAUTHENTICATED(401, Outcome.NOT_RUN, false, "the bearer token is missing or unknown"),

	/** The token does not allow the operation. */
	FORBIDDEN(403, Outcome.NOT_RUN, false, "the token does not allow this operation"),

	/** The path does not exist. */
	NOT_FOUND(404, Outcome.NOT_RUN, false, "there is no such resource"),

	/** No service or model has the name. */
	UNKNOWN_SERVICE(404, Outcome.NOT_RUN, false, "no service or model has this name"),

	/** No profile has the name, or the service does not accept it. */
	UNKNOWN_PROFILE(400, Outcome.NOT_RUN, false, "the service accepts no profile of this name"),

	/** The name exists in both fleets. */
	AMBIGUOUS_NAME(400, Outcome.NOT_RUN, false, "the name exists in several fleets and must be qualified"),

	/** The caller did not send the complete request within the time limit. */
	REQUEST_TIMEOUT(408, Outcome.NOT_RUN, true, "the request was not received in time"),

	/** The body is larger than allowed, or than the host can ever hold. */
	BODY_TOO_LARGE(413, Outcome.NOT_RUN, false, "the body is too large"),

	/** The idempotency key belongs to a request with another method, path or body. */
	KEY_CONFLICT(422, Outcome.NOT_RUN, false, "the idempotency key belongs to a different request"),

	/** The queue is full. */
	OVERLOADED(429, Outcome.NOT_RUN, true, "the queue is full"),

	/** The organisation exceeds its admission limit. */
	ORGANISATION_LIMIT(429, Outcome.NOT_RUN, true, "the organisation exceeds its limit"),

	/** The deadline could not be met and nothing was started. */
	DEADLINE_CANNOT_BE_MET(503, Outcome.NOT_RUN, true, "the deadline cannot be met"),

	/** No endpoint is available. */
	NO_ENDPOINT(503, Outcome.NOT_RUN, true, "no endpoint is available"),

	/** The host is stopping. */
	HOST_STOPPING(503, Outcome.NOT_RUN, true, "the host is stopping"),

	/** An internal error kept the host from sending the request. */
	HOST_FAILED(503, Outcome.NOT_RUN, true, "an internal error kept the host from sending the request"),

	/** The host holds as many bytes of request bodies as its heap allows. */
	HOST_FULL(503, Outcome.NOT_RUN, true, "the host has no memory for the body"),

	/** The host has not read any configuration yet. */
	CONFIGURATION_UNKNOWN(503, Outcome.NOT_RUN, true, "the host knows no configuration yet"),

	/** The cached configuration was last confirmed too long ago. */
	CONFIGURATION_STALE(503, Outcome.NOT_RUN, true, "the host could not confirm its configuration"),

	/** Prompts like this one have crashed several engines. */
	PROMPT_QUARANTINED(503, Outcome.NOT_RUN, true,
			"this request, or prompts with these parts, have crashed several endpoints"),

	/** No engine granted a place in time. */
	NO_PLACE(503, Outcome.NOT_RUN, true, "no engine has a place in time"),

	/** What has begun the stream is not known yet. */
	STREAM_ORIGIN_UNKNOWN(503, Outcome.NOT_RUN, true, "it is not known yet which version has begun the stream"),

	/**
	 * What has begun the stream is not known, or the route does not lead to it any more.
	 */
	STREAM_NOT_RESUMABLE(503, Outcome.NOT_RUN, false,
			"the version that has begun the stream is not known or not there"),

	/** The limits that the endpoints have named are used up. */
	ENDPOINTS_LIMITED(503, Outcome.NOT_RUN, true, "the limits that the endpoints have named are used up"),

	/** The endpoints hold as many bytes of request bodies as their bound allows. */
	ENDPOINTS_FULL(503, Outcome.NOT_RUN, true, "no endpoint has room for the body"),

	/** Every endpoint that was tried stated that it did not run the request. */
	ENDPOINTS_REFUSED(503, Outcome.NOT_RUN, true, "no endpoint accepted the request"),

	/** The time limit of the request expired before it was sent to an endpoint. */
	TIMED_OUT_WAITING(503, Outcome.NOT_RUN, true, "the time for the request ended while it waited"),

	/** The endpoint's answer is invalid. */
	BAD_ANSWER(502, Outcome.UNKNOWN, false, "the endpoint's answer could not be used"),

	/** The endpoint could not be reached. */
	ENDPOINT_UNREACHABLE(502, Outcome.NOT_RUN, true, "the endpoint could not be reached"),

	/** The caller disconnected before the request was started. */
	CALLER_GONE(499, Outcome.NOT_RUN, false, "the caller went away"),

	/** The deadline passed while the endpoint was running the request. */
	DEADLINE_EXCEEDED(504, Outcome.UNKNOWN, false, "the deadline passed while the endpoint worked"),

	/** The connection was lost after the request was written. */
	CONNECTION_LOST(502, Outcome.UNKNOWN, false, "the connection was lost after the request was sent"),

	/** It could not be recorded in time what has begun the stream. */
	STREAM_NOT_RECORDED(502, Outcome.UNKNOWN, false, "it could not be recorded which version has begun the stream"),

	/** The answer ended before it was complete. */
	STREAM_BROKEN(502, Outcome.UNKNOWN, false, "the answer broke off"),

	/** The key's owner does not know whether a request with the key was dispatched. */
	KEY_OUTCOME_UNKNOWN(409, Outcome.UNKNOWN, false, "it is not known whether a request with this key was run"),

	/** The idempotency key is older than the dedupe window. */
	KEY_EXPIRED(409, Outcome.UNKNOWN, false, "the idempotency key is too old to tell whether it was run"),

	/** The owner of the idempotency key could not be reached. */
	KEY_OWNER_UNREACHABLE(503, Outcome.UNKNOWN, true, "the owner of the idempotency key could not be reached"),

	/** An earlier request with the key was answered, but its answer is no longer kept. */
	ANSWER_NOT_KEPT(409, Outcome.UNKNOWN, false, "a request with this key was dispatched; its answer is not kept"),

	/** A change is based on a revision that is not the current one. */
	REVISION_CONFLICT(409, Outcome.NOT_RUN, false, "the entity was changed by someone else"),

	/** The body of a change is not valid. */
	INVALID_CHANGE(400, Outcome.NOT_RUN, false, "the change is not valid"),

	/** The log did not confirm the change in time. */
	LOG_UNAVAILABLE(503, Outcome.UNKNOWN, true,
			"the log did not confirm the change; repeat it with the same change id"),

	/** An unexpected internal error. */
	INTERNAL(500, Outcome.UNKNOWN, false, "internal error");

	private final int status;

	private final Outcome outcome;

	private final boolean retryable;

	private final String message;

	ErrorKind(int status, Outcome outcome, boolean retryable, String message) {
		this.status = status;
		this.outcome = outcome;
		this.retryable = retryable;
		this.message = message;
	}

	/**
	 * Returns the HTTP status.
	 * @return the status code
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Returns the outcome of a request that ends with the error.
	 * @return the outcome
	 */
	public Outcome outcome() {
		return this.outcome;
	}

	/**
	 * Returns whether the caller may retry the request with the same idempotency key.
	 * @return true if a retry is safe
	 */
	public boolean retryable() {
		return this.retryable;
	}

	/**
	 * Returns the error message.
	 * @return the text that callers get
	 */
	public String message() {
		return this.message;
	}

	/**
	 * Returns the name of the kind in messages and answers.
	 * @return the lower-case name
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT);
	}

	/**
	 * Finds a kind by its label.
	 * @param label the lower-case name
	 * @return the kind; {@link #INTERNAL} if no kind has the label
	 */
	public static ErrorKind ofLabel(String label) {
		for (ErrorKind kind : values()) {
			if (kind.label().equals(label)) {
				return kind;
			}
		}
		return INTERNAL;
	}

}
