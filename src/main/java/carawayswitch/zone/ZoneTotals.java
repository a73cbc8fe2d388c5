package carawayswitch.zone;

import java.util.Collection;

/**
 * Sums over all zones of a service, in units per millisecond. Immutable.
 */
final class ZoneTotals {

	/** Work that the endpoints can take. */
	final double capacity;

	/** Work that is offered. */
	final double rate;

	/** Work that zones can take from others. */
	final double room;

	/** Work that zones with endpoints want to send away. */
	final double excess;

	/** Work of zones without endpoints. */
	final double rateWithoutEndpoints;

	ZoneTotals(Collection<ZoneState> zones) {
		this.capacity = zones.stream().mapToDouble((zone) -> zone.capacity).sum();
		this.rate = zones.stream().mapToDouble((zone) -> zone.rate).sum();
		this.room = zones.stream().mapToDouble((zone) -> zone.room).sum();
		this.excess = zones.stream().filter((zone) -> zone.capacity > 0).mapToDouble((zone) -> zone.excess).sum();
		this.rateWithoutEndpoints = zones.stream()
			.filter((zone) -> zone.capacity <= 0)
			.mapToDouble((zone) -> zone.rate)
			.sum();
	}

	// Share of the excess for which there is room. Work of zones without endpoints has no
	// other place, so that it goes first.
	double served() {
		return (this.excess > 0) ? Math.min(1, Math.max(0, this.room - this.rateWithoutEndpoints) / this.excess) : 1;
	}

}
