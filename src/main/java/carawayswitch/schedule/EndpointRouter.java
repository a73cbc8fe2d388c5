package carawayswitch.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

import carawayswitch.config.PressurePolicy;

/**
 * Chooses the endpoint of an attempt, taking earlier rejections into account. Protected
 * work that was rejected goes first to endpoints where less urgent work is queued or
 * runs, since that work must yield to it. Keeps no state; the random generator is passed
 * in.
 */
public final class EndpointRouter {

	/** Number of rejections after which protected work is shed. */
	static final int MAX_PROTECTED_REJECTIONS = 16;

	private EndpointRouter() {
	}

	/**
	 * Returns whether rejected work may be offered to another endpoint. A rejection costs
	 * nothing at the endpoint, so protected work is offered to many endpoints before it
	 * is shed.
	 * @param work the rejected work
	 * @param rejections number of endpoints that have rejected it
	 * @param maxAttempts maximum number of attempts for work that is not protected
	 * @return true if another endpoint may be tried
	 */
	public static boolean mayTryAnother(Work work, int rejections, int maxAttempts) {
		boolean protectedWork = work.pressure() == PressurePolicy.PROTECT;
		return rejections < (protectedWork ? MAX_PROTECTED_REJECTIONS : maxAttempts);
	}

	/**
	 * Chooses an endpoint that is not draining.
	 * @param endpoints the endpoints of the service
	 * @param rejectedBy ids of endpoints that rejected earlier attempts
	 * @param work the work to place
	 * @param random source of random numbers
	 * @param now current time in milliseconds
	 * @return the chosen endpoint, or null if none is left
	 */
	public static EndpointLoadBalancer.Candidate select(List<EndpointLoadBalancer.Candidate> endpoints,
			Set<String> rejectedBy, Work work, RandomGenerator random, long now) {
		List<EndpointLoadBalancer.Candidate> untried = new ArrayList<>();
		List<EndpointLoadBalancer.Candidate> withLessUrgentWork = new ArrayList<>();
		for (EndpointLoadBalancer.Candidate candidate : endpoints) {
			EndpointLoadView view = candidate.view();
			if (view.draining()) {
				continue;
			}
			if (!rejectedBy.contains(view.id())) {
				untried.add(candidate);
			}
			if (view.hasLessUrgentWork(work.urgency())) {
				withLessUrgentWork.add(candidate);
			}
		}
		boolean displaceLessUrgent = work.pressure() == PressurePolicy.PROTECT && !rejectedBy.isEmpty()
				&& !withLessUrgentWork.isEmpty();
		return EndpointLoadBalancer.choose(displaceLessUrgent ? withLessUrgentWork : untried, work, random, now);
	}

}
