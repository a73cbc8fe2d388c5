package carawayswitch.schedule;

import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.atomic.DoubleAdder;

import carawayswitch.message.EndpointDigest;

/**
 * What one host knows of an endpoint's load: the newest digest of its owner and the work
 * that this host has sent since. Safe for use by several threads.
 */
public final class EndpointView {

	private final String id;

	private final AtomicReference<Report> report = new AtomicReference<>(new Report(null, 0));

	private final DoubleAdder addedCost = new DoubleAdder();

	/**
	 * Creates a view without a digest.
	 * @param id id of the endpoint
	 */
	public EndpointView(String id) {
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
		this.report.set(new Report(digest, now));
		this.addedCost.reset();
	}

	/**
	 * Records that this host has sent work.
	 * @param work the work
	 */
	public void onSent(Work work) {
		this.addedCost.add(work.cost());
	}

	EndpointDigest digest() {
		return this.report.get().digest();
	}

	/**
	 * Returns whether the endpoint takes no new work.
	 * @return true if the newest digest says so
	 */
	public boolean leaving() {
		EndpointDigest digest = digest();
		return digest != null && digest.leaving();
	}

	/**
	 * Returns whether less urgent work is queued or runs at the endpoint.
	 * @param urgency urgency of the work in question
	 * @return true if the newest digest says so
	 */
	public boolean lowerWorkPresent(int urgency) {
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
		Report current = this.report.get();
		EndpointDigest digest = current.digest();
		if (digest == null) {
			return this.addedCost.sum();
		}
		int limit = Math.max(1, digest.limit());
		double wait = this.addedCost.sum() * digest.millisPerToken() / limit;
		for (int urgency = work.urgency(); urgency < digest.queuedMillis().size(); urgency++) {
			wait += digest.queuedMillis().get(urgency);
		}
		double occupied = Math.min(1, (double) digest.running() / limit);
		wait = Math.max(0, wait - (now - current.at()) * occupied);
		double prefill = (work.promptTokens() - cachedTokens) * digest.prefillMillisPerToken();
		double decode = Math.max(1, work.expectedTokens()) * digest.millisPerToken() * (1 + occupied);
		return wait + prefill + decode;
	}

	private record Report(EndpointDigest digest, long at) {

	}

}
