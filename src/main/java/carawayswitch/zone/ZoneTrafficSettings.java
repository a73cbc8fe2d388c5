package carawayswitch.zone;

/**
 * Price and time of the path between availability zones. Immutable.
 *
 * @param pricePerGb price of 10^9 bytes that leave a zone, in currency units; 0 or more
 * @param valuePerSecond what a second of a caller's wait is worth, in currency units;
 * more than 0
 * @param crossingMillis time of the path in one direction in milliseconds; 0 or more
 */
public record ZoneTrafficSettings(double pricePerGb, double valuePerSecond, double crossingMillis) {

	private static final double BYTES_PER_GB = 1e9;

	private static final double SECOND_MILLIS = 1000;

	/**
	 * Creates settings.
	 * @throws IllegalArgumentException if a value is out of its range; the message begins
	 * with the name of the setting
	 */
	public ZoneTrafficSettings {
		check("price-per-gb", pricePerGb, pricePerGb >= 0, "0 or more");
		check("value-per-second", valuePerSecond, valuePerSecond > 0, "more than 0");
		check("crossing-ms", crossingMillis, crossingMillis >= 0, "0 or more");
	}

	private static void check(String name, double value, boolean valid, String range) {
		if (!valid || !Double.isFinite(value)) {
			throw new IllegalArgumentException(name + " is " + value + "; valid: a number, " + range);
		}
	}

	/**
	 * Returns the cost of sending work to another zone and its answer back.
	 * @param bytes bytes of both directions
	 * @return the time of the path in both directions, and the price as the wait of a
	 * caller that is worth as much; in milliseconds
	 */
	public double costMillis(double bytes) {
		return 2 * this.crossingMillis + bytes / BYTES_PER_GB * this.pricePerGb / this.valuePerSecond * SECOND_MILLIS;
	}

}
