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
public final class EndpointBeliefs {

	/** Outage in milliseconds after which entries may have lapsed without cause. */
	static final long OUTAGE_MILLIS = 1000;

	/**
	 * Time in milliseconds after an outage until a missing entry means that the endpoint
	 * is gone; live endpoints register again within about two seconds.
	 */
	static final long RETURN_MILLIS = 1900;

	private final Map<String, EndpointEntry> entries = new HashMap<>();

	/** Endpoints whose removal waits, with the time at which it takes effect. */
	private final Map<String, Long> doubted = new HashMap<>();

	private long returnUntil = Long.MIN_VALUE;

	/**
	 * Takes in what was read.
	 * @param read newest entry of each id that was read; empty for a removed one
	 * @param whole true if ids that are not named do not exist
	 * @param outageMillis time for which the store could not be read before
	 * @param now time in milliseconds
	 */
	public void update(Map<String, Optional<EndpointEntry>> read, boolean whole, long outageMillis, long now) {
		if (outageMillis > OUTAGE_MILLIS && !this.entries.isEmpty()) {
			this.returnUntil = now + RETURN_MILLIS;
		}
		if (whole) {
			this.entries.keySet()
				.stream()
				.filter((id) -> !read.containsKey(id))
				.toList()
				.forEach((id) -> remove(id, now));
		}
		read.forEach((id, entry) -> {
			if (entry.isPresent()) {
				this.entries.put(id, entry.get());
				this.doubted.remove(id);
			}
			else {
				remove(id, now);
			}
		});
		settle(now);
	}

	private void remove(String id, long now) {
		if (now < this.returnUntil && this.entries.containsKey(id)) {
			this.doubted.putIfAbsent(id, this.returnUntil);
		}
		else {
			this.entries.remove(id);
			this.doubted.remove(id);
		}
	}

	/**
	 * Lets removals take effect that no longer wait.
	 * @param now time in milliseconds
	 */
	public void settle(long now) {
		this.doubted.entrySet().removeIf((each) -> {
			boolean due = now >= each.getValue();
			if (due) {
				this.entries.remove(each.getKey());
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
