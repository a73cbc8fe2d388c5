package carawayswitch.metrics;

import java.util.Locale;

/**
 * Names of all metrics with their meaning. Immutable.
 */
public enum Metric {

	/** Requests that ended, by fleet, urgency, kind and outcome. */
	REQUESTS("requests that ended"),

	/** Requests that were answered whole within their deadline. */
	GOODPUT("requests answered whole within their deadline"),

	/** Goodput by the size of the organisation. */
	GOODPUT_ORGANISATION_SIZE("requests answered whole within their deadline, by size of the organisation"),

	/** Prompt tokens of dispatched attempts. */
	PROMPT_TOKENS("prompt tokens of dispatched attempts"),

	/** Prompt tokens that were processed in vain. */
	WASTED_PROMPT_TOKENS("prompt tokens processed for attempts that were dropped or repeated"),

	/** Time to the first byte of an answer. */
	FIRST_BYTE("time to the first byte of an answer"),

	/** Time to the end of an answer. */
	DURATION("time to the end of an answer"),

	/** Attempts beyond the first of a request. */
	RETRIES("attempts beyond the first of a request"),

	/** Verdicts on requests for grants. */
	GRANT_VERDICTS("verdicts on requests for grants"),

	/** Attempts that are queued or run at this host's endpoints. */
	IN_FLIGHT("attempts without an end that this host has sent"),

	/** Grants that this host remembers. */
	GRANTS("grants that this host remembers"),

	/** Key slots over which this host has authority. */
	SLOTS_HELD("key slots over which this host has authority"),

	/** Hosts in the view. */
	VIEW_HOSTS("live hosts in the view"),

	/** Offset up to which the log is folded. */
	CONFIGURATION_OFFSET("offset up to which the log is folded"),

	/** Estimated wait at an endpoint that this host owns. */
	QUEUE_WAIT("estimated wait at an owned endpoint"),

	/** Bytes between hosts. */
	PEER_BYTES("bytes sent to other hosts"),

	/** Version of the configuration in force. */
	CONFIGURATION_VERSION("version of the configuration in force"),

	/** Time since the configuration was confirmed. */
	CONFIGURATION_AGE("time since the configuration was confirmed in milliseconds; -1 if not known"),

	/** Requests that wait for a place in pools that this host owns. */
	PLACES_WAITING("requests that wait for a place in owned pools"),

	/** Requests that run in pools that this host owns. */
	PLACES_RUNNING("requests that run in owned pools"),

	/** Connections that this host has opened to endpoints and the store. */
	ENDPOINT_CONNECTIONS("connections opened to endpoints and the store"),

	/** Audit entries that were dropped. */
	AUDIT_LOST("audit entries that were dropped");

	private static final String PREFIX = "carawayswitch_";

	private final String description;

	Metric(String description) {
		this.description = description;
	}

	/**
	 * Returns the name of the metric.
	 * @return the lower-case name with its prefix
	 */
	public String label() {
		return PREFIX + name().toLowerCase(Locale.ROOT);
	}

	/**
	 * Returns what the metric measures.
	 * @return the description
	 */
	public String description() {
		return this.description;
	}

}
