package carawayswitch.schedule;

import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.atomic.DoubleAdder;

import carawayswitch.message.EndpointDigest;

/**
 * One host's view of an endpoint's load: the newest digest from the endpoint's owner and
 * the work that this host has dispatched since. Thread-safe.
 */
public final class EndpointLoadView {

	private final String id;

	private final AtomicReference<ReceivedDigest> receivedDigest = new AtomicReference<>(new ReceivedDigest(null, 0));

	private final DoubleAdder costSinceDigest = new DoubleAdder();

	/**
	 * Creates a view that has not received a digest.
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
	 * Replaces the digest and resets the cost of the work dispatched since.
	 * @param digest the newer digest
	 * @param now current time in milliseconds
	 */
	public void onDigest(EndpointDigest digest, long now) {
		this.receivedDigest.set(new ReceivedDigest(digest, now));
		this.costSinceDigest.reset();
	}

	/**
	 * Adds the cost of work that this host has dispatched to the endpoint.
	 * @param work the dispatched work
	 */
	public void onDispatched(Work work) {
		this.costSinceDigest.add(work.cost());
	}

	EndpointDigest digest() {
		return this.receivedDigest.get().digest();
	}

	/**
	 * Returns whether the endpoint is draining and takes no new work.
	 * @return true if the newest digest reports draining
	 */
	public boolean draining() {
		EndpointDigest digest = digest();
		return digest != null && digest.leaving();
	}

	/**
	 * Returns whether less urgent work is queued or runs at the endpoint.
	 * @param urgency urgency to compare with
	 * @return true if the newest digest reports work below this urgency
	 */
	public boolean hasLessUrgentWork(int urgency) {
		EndpointDigest digest = digest();
		return digest != null && digest.lowestUrgency() >= 0 && digest.lowestUrgency() < urgency;
	}

	/**
	 * Estimates the time that the endpoint needs to complete work: wait, prefill and
	 * decode. Without a digest, the cost of the work dispatched so far stands in for it.
	 * @param work the work to place
	 * @param cachedTokens prompt tokens that are probably in the endpoint's prefix cache
	 * @param now current time in milliseconds
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
