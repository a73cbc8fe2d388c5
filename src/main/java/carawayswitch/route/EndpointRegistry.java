package carawayswitch.route;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Builds the table of endpoints from what is read about them. Entries that lapsed while
 * the store was away come back shortly after it does: a removal that is seen right after
 * an outage takes effect only if the endpoint does not register again. Times are
 * milliseconds. Not safe for use by several threads.
 */
public final class EndpointRegistry {

	/** Outage in milliseconds after which entries may have lapsed without cause. */
	static final long MIN_OUTAGE_MILLIS = 1000;

	/**
	 * Time in milliseconds after an outage until a missing entry means that the endpoint
	 * is gone; live endpoints register again within about two seconds.
	 */
	static final long REREGISTRATION_GRACE_MILLIS = 1900;

	private final Map<String, EndpointEntry> entries = new HashMap<>();

	/** Endpoints whose removal waits, with the time at which it takes effect. */
	private final Map<String, Long> deferredRemovals = new HashMap<>();

	private long graceUntilMillis = Long.MIN_VALUE;

	/**
	 * Takes in what was read.
	 * @param records newest entry of each id that was read; empty for a removed one
	 * @param complete true if ids that are not named do not exist
	 * @param outageMillis time for which the store could not be read before
	 * @param nowMillis time in milliseconds
	 */
	public void update(Map<String, Optional<EndpointEntry>> records, boolean complete, long outageMillis,
			long nowMillis) {
		if (outageMillis > MIN_OUTAGE_MILLIS && !this.entries.isEmpty()) {
			this.graceUntilMillis = nowMillis + REREGISTRATION_GRACE_MILLIS;
		}
		if (complete) {
			this.entries.keySet()
				.stream()
				.filter((id) -> !records.containsKey(id))
				.toList()
				.forEach((id) -> removeOrDefer(id, nowMillis));
		}
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
	 * Lets removals take effect that no longer wait.
	 * @param nowMillis time in milliseconds
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
	 * Returns the endpoints that are believed in.
	 * @return a new table
	 */
	public EndpointTable table() {
		return new EndpointTable(this.entries);
	}

}
