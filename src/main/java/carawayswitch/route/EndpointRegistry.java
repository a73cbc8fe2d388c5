package carawayswitch.route;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Registered endpoints, built from the records of the store. Registrations that expired
 * while the store was unavailable are renewed shortly after it recovers. A removal that
 * is read right after an outage is therefore deferred, and takes effect only if the
 * endpoint does not register again. Times are milliseconds. Not thread-safe.
 */
public final class EndpointRegistry {

	/**
	 * Length of an outage in milliseconds beyond which registrations of live endpoints
	 * may have expired.
	 */
	public static final long MIN_OUTAGE_MILLIS = 1000;

	/**
	 * Time in milliseconds after an outage for which removals are deferred. Live
	 * endpoints register again within about two seconds.
	 */
	static final long REREGISTRATION_GRACE_MILLIS = 1900;

	private final Map<String, EndpointEntry> entries = new HashMap<>();

	/** Time at which each deferred removal takes effect, by id of the endpoint. */
	private final Map<String, Long> deferredRemovals = new HashMap<>();

	private long graceUntilMillis = Long.MIN_VALUE;

	/**
	 * Updates the registry with records that were read.
	 * @param records newest entry by id; empty for a removed endpoint
	 * @param nowMillis current time in milliseconds
	 */
	public void update(Map<String, Optional<EndpointEntry>> records, long nowMillis) {
		records.forEach((id, entry) -> {
			if (entry.isPresent()) {
				this.entries.put(id, entry.get());
				this.deferredRemovals.remove(id);
			}
			else {
				removeOrDefer(id, nowMillis);
			}
		});
		applyDueRemovals(nowMillis);
	}

	/**
	 * Defers removals for a while, since the store was unavailable or has lost records.
	 * @param nowMillis current time in milliseconds
	 */
	public void deferRemovals(long nowMillis) {
		if (!this.entries.isEmpty()) {
			this.graceUntilMillis = nowMillis + REREGISTRATION_GRACE_MILLIS;
		}
	}

	private void removeOrDefer(String id, long nowMillis) {
		if (nowMillis < this.graceUntilMillis && this.entries.containsKey(id)) {
			this.deferredRemovals.putIfAbsent(id, this.graceUntilMillis);
		}
		else {
			this.entries.remove(id);
			this.deferredRemovals.remove(id);
		}
	}

	/**
	 * Applies the deferred removals that are due.
	 * @param nowMillis current time in milliseconds
	 */
	public void applyDueRemovals(long nowMillis) {
		this.deferredRemovals.entrySet().removeIf((removal) -> {
			boolean due = nowMillis >= removal.getValue();
			if (due) {
				this.entries.remove(removal.getKey());
			}
			return due;
		});
	}

	/**
	 * Returns a snapshot of the registered endpoints.
	 * @return a new table
	 */
	public EndpointTable table() {
		return new EndpointTable(this.entries);
	}

}
