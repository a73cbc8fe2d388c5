package carawayswitch.gateway;

import java.net.InetSocketAddress;
import java.util.Set;
import java.util.TreeSet;

/**
 * Checked settings of a gateway host. Immutable.
 *
 * @param host id of this host
 * @param zone its availability zone
 * @param front address for clients
 * @param readiness address for readiness questions
 * @param internal address for other hosts
 * @param store address of the platform's store
 * @param capacity processor time of this host in thousandths of a core
 * @param bounds times and shares that the deployment promises
 */
public record GatewaySettings(String host, String zone, InetSocketAddress front, InetSocketAddress readiness,
		InetSocketAddress internal, InetSocketAddress store, int capacity, Bounds bounds) {

	/**
	 * Returns the name that hosts of one deployment share: those that use one store
	 * belong together.
	 * @return the name
	 */
	public String clusterName() {
		return this.store.getHostString() + ":" + this.store.getPort();
	}

	/**
	 * Compares what a running host can take over from a changed file.
	 * @param other other settings
	 * @return names of settings that differ and need a restart
	 */
	public Set<String> differencesThatNeedRestart(GatewaySettings other) {
		Set<String> names = new TreeSet<>();
		if (!this.front.equals(other.front)) {
			names.add("front");
		}
		if (!this.readiness.equals(other.readiness)) {
			names.add("readiness");
		}
		if (!this.internal.equals(other.internal)) {
			names.add("internal");
		}
		if (!this.store.equals(other.store)) {
			names.add("store");
		}
		return names;
	}

	/**
	 * Times and shares that the deployment promises. Immutable.
	 *
	 * @param configurationMillis time until an acknowledged configuration is in force, in
	 * milliseconds
	 * @param drainMillis time until a leaving endpoint gets no more work, in milliseconds
	 * @param revocationStrict true if a host that cannot confirm its configuration must
	 * refuse requests with keys
	 * @param revocationMillis time until a removed key is refused, in milliseconds
	 * @param graceMillis time from SIGTERM to SIGKILL in milliseconds
	 * @param retryRatio retries to a service over all hosts, as a share of its requests
	 * @param retryExtra retries to a service over all hosts beyond that share
	 * @param retryWindowMillis window over which retries are counted, in milliseconds
	 * @param capWindowMillis window over which token caps are counted, in milliseconds
	 * @param capExcess share by which a cap may be exceeded in a window
	 * @param capSlack units by which a cap may be exceeded in a window
	 */
	public record Bounds(long configurationMillis, long drainMillis, boolean revocationStrict, long revocationMillis,
			long graceMillis, double retryRatio, double retryExtra, long retryWindowMillis, long capWindowMillis,
			double capExcess, double capSlack) {

	}

}
