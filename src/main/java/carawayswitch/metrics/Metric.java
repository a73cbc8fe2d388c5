package carawayswitch.metrics;

import java.util.Locale;

/**
 * Metrics of a host with their help texts. Immutable.
 */
public enum Metric {

	/** Finished requests by fleet, urgency, kind and outcome. */
	REQUESTS("requests that ended"),

	/** Requests that were answered completely within their deadline. */
	GOODPUT("requests answered whole within their deadline"),

	/** Goodput by size class of the organisation. */
	GOODPUT_ORGANISATION_SIZE("requests answered whole within their deadline, by size of the organisation"),

	/** Prompt tokens of dispatched attempts. */
	PROMPT_TOKENS("prompt tokens of dispatched attempts"),

	/** Prompt tokens that were processed for dropped or repeated attempts. */
	WASTED_PROMPT_TOKENS("prompt tokens processed for attempts that were dropped or repeated"),

	/** Time to the first byte of an answer. */
	FIRST_BYTE("time to the first byte of an answer"),

	/** Time to the end of an answer. */
	DURATION("time to the end of an answer"),

	/** Retries: attempts beyond the first of a request. */
	RETRIES("attempts beyond the first of a request"),

	/** Decisions on streams that clients take up. */
	STREAMS_RESUMED("decisions on streams that clients take up"),

	/** Verdicts on grant requests. */
	GRANT_VERDICTS("verdicts on requests for grants"),

	/** Attempts that this host has sent and that have not ended. */
	IN_FLIGHT("attempts without an end that this host has sent"),

	/** Grants that this host holds in memory. */
	GRANTS("grants that this host remembers"),

	/** Key slots over which this host has authority. */
	SLOTS_HELD("key slots over which this host has authority"),

	/** Live hosts as this host sees them. */
	VIEW_HOSTS("live hosts in the view"),

	/** Offset up to which the log has been applied to the configuration. */
	CONFIGURATION_OFFSET("offset up to which the log is folded"),

	/** Estimated queue wait at an endpoint that this host owns. */
	QUEUE_WAIT("estimated wait at an owned endpoint"),

	/** Bytes sent to other hosts. */
	PEER_BYTES("bytes sent to other hosts"),

	/** Requests and messages to other zones, by use. */
	CROSS_ZONE_REQUESTS("requests and messages to other zones"),

	/** Bytes to and from other zones, by use. */
	CROSS_ZONE_BYTES("bytes of requests, answers and messages between zones"),

	/** Version of the active configuration. */
	CONFIGURATION_VERSION("version of the configuration in force"),

	/** Time in milliseconds since the configuration was confirmed; -1 if unknown. */
	CONFIGURATION_AGE("time since the configuration was confirmed in milliseconds; -1 if not known"),

	/** Pending place requests in pools that this host owns. */
	PLACES_WAITING("requests that wait for a place in owned pools"),

	/** Running requests in pools that this host owns. */
	PLACES_RUNNING("requests that run in owned pools"),

	/** Quarantine rules that this host knows, expired ones included. */
	QUARANTINE_RULES("quarantine rules that this host knows"),

	/** Bytes that this host holds for request bodies, all copies included. */
	REQUEST_BODY_BYTES("bytes held for request bodies, all copies included"),

	/** Bytes that this host buffers for clients that do not read their responses. */
	RESPONSE_BUFFER_BYTES("response bytes buffered for clients that do not read them"),

	/** Times that a bound on memory took effect, by bound. */
	MEMORY_BOUNDS("times that a bound on memory took effect"),

	/** Times that an endpoint asked for no more requests, by service and cause. */
	ENDPOINT_BACKOFFS("times that an endpoint asked for no more requests"),

	/** Connections that this host has opened to endpoints and the store. */
	ENDPOINT_CONNECTIONS("connections opened to endpoints and the store"),

	/** Stored changes of rollouts, by service and state. */
	ROLLOUT_CHANGES("stored changes of rollouts"),

	/** Requests sent during rollouts, by service and version. */
	ROLLOUT_REQUESTS("requests sent to services with a rule on versions"),

	/** Calls of starting hosts to the store that have ended, by call and result. */
	STARTUP_CALLS("calls of the starting host to the store"),

	/** Audit entries that were dropped. */
	AUDIT_LOST("audit entries that were dropped");

	private static final String PREFIX = "carawayswitch_";

	private final String description;

	Metric(String description) {
		this.description = description;
	}

	/**
	 * Returns the name under which the metric is exported.
	 * @return the lower-case name with the common prefix
	 */
	public String label() {
		return PREFIX + name().toLowerCase(Locale.ROOT);
	}

	/**
	 * Returns the help text of the metric.
	 * @return the help text
	 */
	public String description() {
		return this.description;
	}

}
