package carawayswitch.schedule;

import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.atomic.DoubleAdder;

import carawayswitch.message.EndpointDigest;

/**
 * What one host knows of an endpoint's load: the newest digest of its owner and the work
 * that this host has sent since. Safe for use by several threads.
 */
public final class EndpointLoadView {

	private final String id;

	private final AtomicReference<ReceivedDigest> receivedDigest = new AtomicReference<>(new ReceivedDigest(null, 0));

	private final DoubleAdder costSinceDigest = new DoubleAdder();

	/**
	 * Creates a view without a digest.
	 * @param id id of the endpoint
	 */
	public EndpointLoadView(String id) {
		this.id = id;
	}

	/**
	 * Returns the id of the endpoint.
	 * @return the id
	 */
	public String id() {
		return this.id;
	}

	/**
	 * Takes in a newer digest.
	 * @param digest the digest
	 * @param now time in milliseconds
	 */
	public void onDigest(EndpointDigest digest, long now) {
		this.receivedDigest.set(new ReceivedDigest(digest, now));
		this.costSinceDigest.reset();
	}

	/**
	 * Records that this host has sent work.
	 * @param work the work
	 */
	public void onDispatched(Work work) {
		this.costSinceDigest.add(work.cost());
	}

	EndpointDigest digest() {
		return this.receivedDigest.get().digest();
	}

	/**
	 * Returns whether the endpoint takes no new work.
	 * @return true if the newest digest says so
	 */
	public boolean draining() {
		EndpointDigest digest = digest();
		return digest != null && digest.leaving();
	}

	/**
	 * Returns whether less urgent work is queued or runs at the endpoint.
	 * @param urgency urgency of the work in question
	 * @return true if the newest digest says so
	 */
	public boolean hasLessUrgentWork(int urgency) {
		EndpointDigest digest = digest();
		return digest != null && digest.lowestUrgency() >= 0 && digest.lowestUrgency() < urgency;
	}

	/**
	 * Estimates the time until the work would be finished at the endpoint.
	 * @param work the work
	 * @param cachedTokens prompt tokens that the endpoint probably holds
	 * @param now time in milliseconds
	 * @return the time in milliseconds
	 */
	double estimateMillis(Work work, int cachedTokens, long now) {
		ReceivedDigest received = this.receivedDigest.get();
		EndpointDigest digest = received.digest();
		if (digest == null) {
			return this.costSinceDigest.sum();
		}
		int concurrencyLimit = Math.max(1, digest.limit());
		double waitMillis = this.costSinceDigest.sum() * digest.millisPerToken() / concurrencyLimit;
		for (int urgency = work.urgency(); urgency < digest.queuedMillis().size(); urgency++) {
			waitMillis += digest.queuedMillis().get(urgency);
		}
		double utilisation = Math.min(1, (double) digest.running() / concurrencyLimit);
		waitMillis = Math.max(0, waitMillis - (now - received.receivedAtMillis()) * utilisation);
		double prefillMillis = (work.promptTokens() - cachedTokens) * digest.prefillMillisPerToken();
		double decodeMillis = Math.max(1, work.expectedTokens()) * digest.millisPerToken() * (1 + utilisation);
		return waitMillis + prefillMillis + decodeMillis;
	}

	private record ReceivedDigest(EndpointDigest digest, long receivedAtMillis) {

	}

}
