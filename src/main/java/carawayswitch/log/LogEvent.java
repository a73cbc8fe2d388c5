package carawayswitch.log;

import java.util.Locale;

import org.tinylog.Level;
import org.tinylog.Logger;

/**
 * Events of the log with their stable names. Safe for use by several threads.
 *
 * <pre>
 * LogEvent.HOST_STARTED.log("host", "host-a1", "http", "127.0.0.1:8080");
 * </pre>
 */
public enum LogEvent {

	/** A host has started. */
	HOST_STARTED(Level.INFO),

	/** A host is ready for callers. */
	HOST_READY(Level.INFO),

	/** A host has begun a planned stop. */
	HOST_STOPPING(Level.INFO),

	/** A host has stopped. */
	HOST_STOPPED(Level.INFO),

	/** The set of live or working hosts has changed. */
	VIEW_CHANGED(Level.INFO),

	/** A connection from another host was refused. */
	PEER_REJECTED(Level.WARN),

	/** A connection to another host was lost. */
	PEER_LOST(Level.WARN),

	/** The configuration has advanced. */
	CONFIGURATION_ADVANCED(Level.DEBUG),

	/** The log service failed. */
	PLATFORM_LOG_FAILED(Level.WARN),

	/** The log service works again. */
	PLATFORM_LOG_RECOVERED(Level.INFO),

	/** The host list could not be read. */
	PLATFORM_HOSTS_FAILED(Level.WARN),

	/** A snapshot of the configuration was written to the log. */
	SNAPSHOT_WRITTEN(Level.INFO),

	/** A new assignment of key slots is in force. */
	ASSIGNMENT_CHANGED(Level.INFO),

	/** The slots over which this host has authority have changed. */
	SLOTS_CHANGED(Level.INFO),

	/** A request has ended. */
	REQUEST_ENDED(Level.DEBUG),

	/** A request could not be parsed. */
	REQUEST_REJECTED(Level.DEBUG),

	/** Running work was stopped in favour of more urgent work. */
	WORK_PREEMPTED(Level.INFO),

	/** An order was sent to an endpoint. */
	ORDER_SENT(Level.INFO),

	/** Audit entries were dropped because the log was down for too long. */
	AUDIT_LOST(Level.WARN),

	/** The store of the platform does not answer or refuses. */
	STORE_LOST(Level.WARN),

	/** The store of the platform answers again. */
	STORE_REGAINED(Level.INFO),

	/** Records are read from another host or from the store itself. */
	READ_SOURCE_CHANGED(Level.INFO),

	/** A record of the store could not be decoded. */
	RECORD_UNREADABLE(Level.WARN),

	/** A version of the routes is in force. */
	ROUTES_CHANGED(Level.INFO),

	/** An endpoint has come, is leaving or is gone. */
	ENDPOINT_CHANGED(Level.INFO),

	/** Another host decides on the places of a pool. */
	POOL_OWNER_CHANGED(Level.INFO),

	/** The owner of a pool has granted or refused a place. */
	PLACE_DECIDED(Level.INFO),

	/** A request was sent to an endpoint. */
	ATTEMPT_SENT(Level.INFO),

	/** An attempt at an endpoint has ended. */
	ATTEMPT_ENDED(Level.INFO),

	/** A gateway has answered a request or given it up. */
	GATEWAY_ANSWERED(Level.INFO),

	/** Readiness for clients has changed. */
	READINESS_CHANGED(Level.INFO),

	/** The settings file was read again. */
	SETTINGS_RELOADED(Level.INFO),

	/** The time of day was stepped against the steady clock. */
	CLOCK_STEPPED(Level.WARN),

	/** Lines were left out to bound the volume of the log. */
	LOG_OMITTED(Level.INFO),

	/** A defect. */
	INTERNAL_ERROR(Level.ERROR);

	private final Level level;

	LogEvent(Level level) {
		this.level = level;
	}

	/**
	 * Returns the name in the log.
	 * @return the lower-case name with dots
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '.');
	}

	/**
	 * Writes one line.
	 * @param keyValues keys and values in turn
	 */
	public void log(Object... keyValues) {
		switch (this.level) {
			case ERROR -> Logger.error(() -> format(keyValues));
			case WARN -> Logger.warn(() -> format(keyValues));
			case INFO -> Logger.info(() -> format(keyValues));
			default -> Logger.debug(() -> format(keyValues));
		}
	}

	private String format(Object... keyValues) {
		StringBuilder line = new StringBuilder("event=").append(label());
		for (int i = 0; i + 1 < keyValues.length; i += 2) {
			line.append(' ').append(keyValues[i]).append('=').append(quoteIfNeeded(String.valueOf(keyValues[i + 1])));
		}
		return line.toString();
	}

	private static String quoteIfNeeded(String value) {
		boolean plain = !value.isEmpty() && value.chars().noneMatch((c) -> c <= ' ' || c == '"' || c == '=');
		return plain ? value : '"' + value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n") + '"';
	}

}
