package carawayswitch.gateway;

import java.util.List;
import java.util.Map;

/**
 * Record of the use of the caps of organisations in the latest window. Immutable.
 *
 * @param recordedAtWallMillis time of the record in milliseconds since the epoch, by the
 * clock of the host that wrote it
 * @param units units used in each second before the record by organisation, the newest
 * second first
 */
public record CapUse(long recordedAtWallMillis, Map<String, List<Long>> units) {

	/**
	 * Creates a record.
	 * @param recordedAtWallMillis time of the record
	 * @param units units by organisation
	 */
	public CapUse {
		units = Map.copyOf(units);
	}

}
