package carawayswitch.gateway;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;

import carawayswitch.backpressure.ResponseBufferBudget;
import carawayswitch.rollout.ExposureLimits;
import carawayswitch.zone.ZoneTrafficSettings;

/**
 * Validated settings of a gateway host. Immutable.
 *
 * @param host id of this host
 * @param zone its availability zone
 * @param front address for clients
 * @param readiness address for readiness checks
 * @param internal address for other hosts
 * @param store address of the platform's store
 * @param clusterName name that the hosts of one cluster share
 * @param capacity processor time of this host in thousandths of a core
 * @param firstStart true if all hosts of the deployment start for the first time
 * @param bounds limits that the deployment guarantees
 * @param zoneTraffic price and time of the path between availability zones, or null if
 * the traffic between them is not decided by these
 * @param pressure bounds on memory
 */
public record GatewaySettings(String host, String zone, InetSocketAddress front, InetSocketAddress readiness,
		InetSocketAddress internal, InetSocketAddress store, String clusterName, int capacity, boolean firstStart,
		Bounds bounds, ZoneTrafficSettings zoneTraffic, Pressure pressure) {

	/**
	 * Returns the cluster name of hosts that use the same store.
	 * @param store address of the store
	 * @return the address as HOST:PORT
	 */
	public static String defaultClusterName(InetSocketAddress store) {
		return store.getHostString() + ":" + store.getPort();
	}

	/**
	 * Finds the changed settings that a running host cannot apply.
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
		if (!this.pressure.equals(other.pressure)) {
			names.add("pressure");
		}
		if (!Objects.equals(this.bounds.exposure(), other.bounds.exposure())) {
			names.add("exposure");
		}
		return names;
	}

	/**
	 * Limits that the deployment guarantees. Immutable.
	 *
	 * @param configurationMillis time until an acknowledged configuration is active, in
	 * milliseconds
	 * @param drainMillis time until a draining endpoint receives no more requests, in
	 * milliseconds
	 * @param revocationStrict true if a host that cannot confirm its configuration must
	 * reject requests with keys
	 * @param revocationMillis time until requests with a removed key are rejected, in
	 * milliseconds
	 * @param graceMillis time from SIGTERM to SIGKILL in milliseconds
	 * @param retryRatio maximum number of retries to a service over all hosts, as a share
	 * of its requests
	 * @param retryExtra number of retries to a service over all hosts that are allowed
	 * beyond that share
	 * @param retryWindowMillis window over which retries are counted, in milliseconds
	 * @param capWindowMillis window over which token caps are counted, in milliseconds
	 * @param capExcess share by which a token cap may be exceeded in a window
	 * @param capSlack number of units by which a token cap may be exceeded in a window
	 * @param exposure bounds on the requests that a bad version gets in a rollout, or
	 * null if there are no rollouts
	 */
	public record Bounds(long configurationMillis, long drainMillis, boolean revocationStrict, long revocationMillis,
			long graceMillis, double retryRatio, double retryExtra, long retryWindowMillis, long capWindowMillis,
			double capExcess, double capSlack, ExposureLimits exposure) {

		/**
		 * Returns whether orders of rollouts are followed.
		 * @return true if the deployment bounds the exposure
		 */
		public boolean rollouts() {
			return this.exposure != null;
		}

	}

	/**
	 * Bounds on what hosts and endpoints hold in memory. Immutable.
	 *
	 * @param inForce true if the bounds are kept
	 * @param responseBufferBytes most response bytes that this host buffers for clients
	 * that do not read them
	 * @param endpointBodyBytes most bytes of request bodies that the hosts together have
	 * one endpoint hold
	 */
	public record Pressure(boolean inForce, long responseBufferBytes, long endpointBodyBytes) {

		/**
		 * Bound for endpoints whose memory is not known: four bodies of the largest
		 * default size, and 29 times what eight requests with the longest common prompts
		 * of 72,000 bytes need, so that it does not take effect in normal use.
		 */
		public static final long DEFAULT_ENDPOINT_BODY_BYTES = 16 * 1024 * 1024;

		/** No bounds. */
		public static final Pressure OFF = new Pressure(false, Long.MAX_VALUE, Long.MAX_VALUE);

		/**
		 * Creates the bounds of this process.
		 * @param endpointBodyBytes most bytes of request bodies at one endpoint
		 * @return the bounds, with response buffers in proportion to the heap
		 */
		public static Pressure ofProcess(long endpointBodyBytes) {
			return new Pressure(true, ResponseBufferBudget.limitOfHeap(Runtime.getRuntime().maxMemory()),
					endpointBodyBytes);
		}

	}

}
