package carawayswitch.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

import carawayswitch.config.PressurePolicy;

/**
 * Chooses where an attempt goes after earlier attempts were refused. Protected work that
 * was refused goes first to endpoints where less urgent work is queued or runs, which
 * must yield to it. Stateless but for the random generator that is passed in.
 */
public final class EndpointRouter {

	/** Most endpoints that are asked for protected work. */
	static final int MAX_PROTECTED_REJECTIONS = 16;

	private EndpointRouter() {
	}

	/**
	 * Tells whether work that was refused is offered to another endpoint. A refusal costs
	 * nothing at the endpoint, so protected work is offered widely before it is shed.
	 * @param work the work
	 * @param rejections number of endpoints that have refused it
	 * @param maxAttempts most attempts of other work
	 * @return true if another endpoint should be asked
	 */
	public static boolean mayTryAnother(Work work, int rejections, int maxAttempts) {
		boolean protectedWork = work.pressure() == PressurePolicy.PROTECT;
		return rejections < (protectedWork ? MAX_PROTECTED_REJECTIONS : maxAttempts);
	}

	/**
	 * Chooses an endpoint.
	 * @param endpoints the endpoints of the service
	 * @param rejectedBy ids of endpoints that refused earlier attempts
	 * @param work the work
	 * @param random source of random numbers
	 * @param now time in milliseconds
	 * @return the endpoint, or null if none is left
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
