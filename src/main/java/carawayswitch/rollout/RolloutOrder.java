package carawayswitch.rollout;

/**
 * An operator's order to roll out a version of a service. Immutable.
 *
 * @param service name of the service
 * @param target version that is to replace all others
 * @param durationMillis time limit in milliseconds
 * @param storeEpoch epoch of the store in which the order was first read; a higher one
 * means that the store was restored before
 */
public record RolloutOrder(String service, String target, long durationMillis, long storeEpoch) {

	/**
	 * Creates an order of unknown epoch.
	 * @param service name of the service
	 * @param target version that is to replace all others
	 * @param durationMillis time limit in milliseconds
	 */
	public RolloutOrder(String service, String target, long durationMillis) {
		this(service, target, durationMillis, 0);
	}

	/**
	 * Returns the order with the epoch in which it was read.
	 * @param epoch epoch of the store
	 * @return the order
	 */
	public RolloutOrder readIn(long epoch) {
		return new RolloutOrder(this.service, this.target, this.durationMillis, epoch);
	}

}
