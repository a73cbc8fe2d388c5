package carawayswitch.log;

import java.util.Locale;

import org.tinylog.Level;
import org.tinylog.Logger;

/**
 * Events of the structured log with their levels. The names are stable. Safe for use by
 * several threads.
 *
 * <pre>
 * LogEvent.HOST_STARTED.log("host", "host-a1", "http", "127.0.0.1:8080");
 * </pre>
 */
public enum LogEvent {

	/** A host has started. */
	HOST_STARTED(Level.INFO),

	/** A host is ready to accept requests. */
	HOST_READY(Level.INFO),

	/** A host has begun its graceful shutdown. */
	HOST_STOPPING(Level.INFO),

	/** A host has stopped. */
	HOST_STOPPED(Level.INFO),

	/** The event loop of a host has ended by a failure, and its process ends. */
	HOST_FAILED(Level.ERROR),

	/** The set of live or working hosts, as this host sees it, has changed. */
	VIEW_CHANGED(Level.INFO),

	/**
	 * A connection was closed because the identity of the other host was not verified.
	 */
	PEER_REJECTED(Level.WARN),

	/** A connection to another host was lost. */
	PEER_LOST(Level.WARN),

	/** The configuration has advanced to a later offset of the log. */
	CONFIGURATION_ADVANCED(Level.DEBUG),

	/** A call that cancels an attempt at its endpoint failed. */
	CANCEL_FAILED(Level.WARN),

	/** A call to the log service failed. */
	PLATFORM_LOG_FAILED(Level.WARN),

	/** The log service responds again. */
	PLATFORM_LOG_RECOVERED(Level.INFO),

	/** The host list could not be read. */
	PLATFORM_HOSTS_FAILED(Level.WARN),

	/** A snapshot of the configuration was written to the log. */
	SNAPSHOT_WRITTEN(Level.INFO),

	/** A new assignment of key slots is active. */
	ASSIGNMENT_CHANGED(Level.INFO),

	/** The slots over which this host has authority have changed. */
	SLOTS_CHANGED(Level.INFO),

	/** A request has ended. */
	REQUEST_ENDED(Level.DEBUG),

	/** A request could not be parsed. */
	REQUEST_REJECTED(Level.DEBUG),

	/** Requests were refused, since there was no memory for their bodies. */
	BODIES_REFUSED(Level.WARN),

	/** A response to a slow client is read without further pauses. */
	RESPONSE_READ_ON(Level.INFO),

	/** A response was ended, since its client did not read it. */
	RESPONSE_ENDED_UNREAD(Level.WARN),

	/** A request waits, since the endpoint holds too many bytes of request bodies. */
	ENDPOINT_BODIES_FULL(Level.INFO),

	/** A request whose body was held was ended for the body of a more urgent one. */
	UPLOAD_ENDED(Level.WARN),

	/** A running request was preempted in favour of a more urgent one. */
	WORK_PREEMPTED(Level.INFO),

	/** An order was sent to an endpoint. */
	ORDER_SENT(Level.INFO),

	/** Audit entries were dropped because the log was down for too long. */
	AUDIT_LOST(Level.WARN),

	/** The store of the platform does not respond or rejects requests. */
	STORE_LOST(Level.WARN),

	/** The store of the platform responds again. */
	STORE_REGAINED(Level.INFO),

	/** The store has been restored from an older copy. */
	STORE_EPOCH_CHANGED(Level.WARN),

	/** The records that were lost with a restore of the store have been written again. */
	STORE_EPOCH_SETTLED(Level.INFO),

	/** All records were read anew after a restore of the store. */
	RECORDS_REREAD(Level.INFO),

	/** Records that a restore of the store had lost were written again. */
	RECORDS_RESTORED(Level.INFO),

	/** The source of the records has changed: another host or the store itself. */
	READ_SOURCE_CHANGED(Level.INFO),

	/** A record of the store could not be decoded. */
	RECORD_UNREADABLE(Level.WARN),

	/** A new version of the routes is active. */
	ROUTES_CHANGED(Level.INFO),

	/** A record that was read is older than the known one and is not used. */
	RECORD_OLDER(Level.WARN),

	/** An endpoint was added, is draining or was removed. */
	ENDPOINT_CHANGED(Level.INFO),

	/** An endpoint has asked in its answer for no more requests of this host. */
	ENDPOINT_BACKOFF(Level.INFO),

	/** A new owner of the pools has read what an earlier one has recorded of caps. */
	CAP_USE_READ(Level.INFO),

	/** The ownership of a pool has moved to another host. */
	POOL_OWNER_CHANGED(Level.INFO),

	/** The owner of a pool has granted or rejected a place request. */
	PLACE_DECIDED(Level.INFO),

	/**
	 * A zone has begun or stopped to send work to other zones, or sends another share.
	 */
	ZONE_TRAFFIC_CHANGED(Level.INFO),

	/** An engine closed the connection of an attempt before the answer had begun. */
	CRASH_SUSPECTED(Level.INFO),

	/** A quarantine rule was made, changed or withdrawn on evidence of this host. */
	QUARANTINE_CHANGED(Level.WARN),

	/** The origins at which streams may have begun have changed. */
	ORIGINS_CHANGED(Level.INFO),

	/** It was decided where a stream goes on that a client has taken up. */
	STREAM_RESUMED(Level.INFO),

	/** An order of a rollout was read. */
	ROLLOUT_ORDERED(Level.INFO),

	/** The progress of a rollout was stored. */
	ROLLOUT_CHANGED(Level.WARN),

	/** The share of the target of a rollout has changed. */
	ROLLOUT_SHARE(Level.INFO),

	/** The state of a rollout was reported to the operators. */
	ROLLOUT_REPORTED(Level.INFO),

	/** A request was sent to an endpoint. */
	ATTEMPT_SENT(Level.INFO),

	/**
	 * The stream of an attempt has paused for longer than its route allows, or goes on.
	 */
	ATTEMPT_STALLED(Level.INFO),

	/** An attempt at an endpoint has ended. */
	ATTEMPT_ENDED(Level.INFO),

	/** A response that names another attempt than the one in flight was skipped. */
	RESPONSE_SKIPPED(Level.INFO),

	/** A connection was closed since its server sent bytes that belong to no request. */
	CONNECTION_DISCARDED(Level.INFO),

	/** A gateway has finished a request: answered, failed or cancelled. */
	GATEWAY_ANSWERED(Level.INFO),

	/** The readiness of this host to accept requests has changed. */
	READINESS_CHANGED(Level.INFO),

	/** The first calls of a starting host to the store have all succeeded. */
	STARTUP_ENDED(Level.INFO),

	/** The settings file was read again. */
	SETTINGS_RELOADED(Level.INFO),

	/** The event loop of this host ran late. */
	LOOP_DELAYED(Level.WARN),

	/** The wall clock was stepped relative to the monotonic clock. */
	CLOCK_STEPPED(Level.WARN),

	/** Lines were dropped to bound the volume of the log. */
	LOG_OMITTED(Level.INFO),

	/** An unexpected failure that points to a defect of the program. */
	INTERNAL_ERROR(Level.ERROR);

	private final Level level;

	LogEvent(Level level) {
		this.level = level;
	}

	/**
	 * Returns the name of the event as written to the log.
	 * @return the lower-case name with dots in place of underscores
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '.');
	}

	/**
	 * Writes one line at the level of the event.
	 * @param keyValues alternating keys and values
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
