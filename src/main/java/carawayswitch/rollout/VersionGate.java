package carawayswitch.rollout;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Versions of each service at which requests may begin, as one host knows it: the shares
 * that the owner of the pools has sent, and the versions that get nothing. Resumed
 * streams do not ask it. Immutable; a change replaces it. Times are monotonic
 * milliseconds.
 *
 * <pre>
 * Set&lt;String&gt; versions = gate.beginVersions("ledger", Set.of("v1", "v2"), 0.03, false, now);
 * </pre>
 */
public final class VersionGate {

	/** The gate of a deployment without rollouts. */
	public static final VersionGate OFF = new VersionGate(true, Map.of());

	private final boolean loaded;

	private final Map<String, Rule> rules;

	/**
	 * Creates a gate.
	 * @param loaded false if the orders and the progress of rollouts have not been read;
	 * no request may begin then
	 * @param rules rules by service; a service without one is not restricted
	 */
	public VersionGate(boolean loaded, Map<String, Rule> rules) {
		this.loaded = loaded;
		this.rules = Map.copyOf(rules);
	}

	/**
	 * Returns whether the orders and the progress of rollouts have been read.
	 * @return false if no request may begin
	 */
	public boolean loaded() {
		return this.loaded;
	}

	/**
	 * Returns whether this gate is the same as another one.
	 * @param other another gate
	 * @return true if both have the same rules
	 */
	public boolean sameAs(VersionGate other) {
		return this.loaded == other.loaded && this.rules.equals(other.rules);
	}

	/**
	 * Returns whether requests for a service may begin at any version.
	 * @param service name of the service
	 * @return true if there is no rule
	 */
	public boolean open(String service) {
		return this.loaded && !this.rules.containsKey(service);
	}

	/**
	 * Returns the versions at which one request may begin.
	 * @param service name of the service
	 * @param serving versions with an endpoint that accepts requests
	 * @param draw random number of the request from 0 up to 1, the same for all its
	 * attempts
	 * @param repeat true if the request was sent before; it then goes to the other
	 * versions while they serve new requests
	 * @param now current time
	 * @return the versions, possibly none
	 */
	public Set<String> beginVersions(String service, Set<String> serving, double draw, boolean repeat, long now) {
		if (!this.loaded) {
			return Set.of();
		}
		Rule rule = this.rules.get(service);
		if (rule == null) {
			return serving;
		}
		Set<String> versions = new HashSet<>(serving);
		versions.removeAll(rule.blocked);
		double share = rule.share(now);
		boolean targetServes = !rule.target.isEmpty() && versions.remove(rule.target);
		boolean toTarget = share >= 1 || !repeat && draw < share;
		return (targetServes && toTarget) ? Set.of(rule.target) : versions;
	}

	/**
	 * Returns whether some request may begin at a version.
	 * @param service name of the service
	 * @param version the version
	 * @param now current time
	 * @return false if none may
	 */
	public boolean mayBegin(String service, String version, long now) {
		Rule rule = this.rules.get(service);
		if (!this.loaded || rule == null) {
			return this.loaded;
		}
		double share = rule.share(now);
		return !rule.blocked.contains(version) && (rule.target.equals(version) ? share > 0 : share < 1);
	}

	/**
	 * Returns whether a version is closed, also to a request that was granted a place at
	 * it before. The versions beside a target with all requests are not: they serve again
	 * if it fails.
	 * @param service name of the service
	 * @param version the version
	 * @param now current time
	 * @return true if nothing may begin at it
	 */
	public boolean closed(String service, String version, long now) {
		Rule rule = this.rules.get(service);
		if (!this.loaded || rule == null) {
			return !this.loaded;
		}
		return rule.blocked.contains(version) || rule.target.equals(version) && rule.share(now) <= 0;
	}

	/**
	 * Returns the share of new requests that a version may get.
	 * @param service name of the service
	 * @param version the version
	 * @param serving versions with an endpoint that accepts requests
	 * @param now current time
	 * @return share from 0 to 1; 1 for all versions beside a target with a part of the
	 * requests
	 */
	public double exposure(String service, String version, Set<String> serving, long now) {
		Rule rule = this.rules.get(service);
		if (rule == null) {
			return 1;
		}
		double share = rule.share(now);
		if (rule.target.equals(version)) {
			return share;
		}
		boolean replaced = share >= 1 && serving.contains(rule.target);
		return (replaced || rule.blocked.contains(version)) ? 0 : 1;
	}

	/**
	 * Rule of one service. Immutable.
	 *
	 * @param target target of a running rollout, or empty if there is none
	 * @param share share of new requests that it gets
	 * @param shareUntil time from which the share is 0, since the owner was not heard
	 * @param blocked versions that get no new requests
	 */
	public record Rule(String target, double share, long shareUntil, Set<String> blocked) {

		double share(long now) {
			return (now < this.shareUntil) ? this.share : 0;
		}

	}

}
