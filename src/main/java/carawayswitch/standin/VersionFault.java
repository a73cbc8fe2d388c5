package carawayswitch.standin;

/**
 * Fault of a software version: a part of its answers fail or are late. Immutable.
 *
 * @param share share of the answers, from 0 to 1
 * @param delayMillis time in milliseconds by which they are late, or 0 if they fail with
 * a sealed status 500
 * @param afterRequests number of requests that an endpoint runs before it has the fault
 * @param pathPrefix prefix of the paths that have it, or empty for all
 */
public record VersionFault(double share, long delayMillis, int afterRequests, String pathPrefix) {

	/** A sound version. */
	public static final VersionFault NONE = new VersionFault(0, 0, 0, "");

	/**
	 * Returns a fault of all routes from the first request on.
	 * @param share share of the answers, from 0 to 1
	 * @param delayMillis time by which they are late, or 0 if they fail
	 * @return the fault
	 */
	public static VersionFault of(double share, long delayMillis) {
		return new VersionFault(share, delayMillis, 0, "");
	}

	boolean strikes(String path, int requestsBefore, double random) {
		return random < this.share && requestsBefore >= this.afterRequests && path.startsWith(this.pathPrefix);
	}

}
