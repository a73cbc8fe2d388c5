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
public final class EndpointSelection {

	/** Most endpoints that are asked for protected work. */
	static final int MAX_REFUSALS_OF_PROTECTED = 16;

	private EndpointSelection() {
	}

	/**
	 * Tells whether work that was refused is offered to another endpoint. A refusal costs
	 * nothing at the endpoint, so protected work is offered widely before it is shed.
	 * @param work the work
	 * @param refusals number of endpoints that have refused it
	 * @param maxAttempts most attempts of other work
	 * @return true if another endpoint should be asked
	 */
	public static boolean mayTryElsewhere(Work work, int refusals, int maxAttempts) {
		boolean protectedWork = work.pressure() == PressurePolicy.PROTECT;
		return refusals < (protectedWork ? MAX_REFUSALS_OF_PROTECTED : maxAttempts);
	}

	/**
	 * Chooses an endpoint.
	 * @param endpoints the endpoints of the service
	 * @param refusedBy ids of endpoints that refused earlier attempts
	 * @param work the work
	 * @param random source of random numbers
	 * @param now time in milliseconds
	 * @return the endpoint, or null if none is left
	 */
	public static EndpointChooser.Candidate select(List<EndpointChooser.Candidate> endpoints, Set<String> refusedBy,
			Work work, RandomGenerator random, long now) {
		List<EndpointChooser.Candidate> open = new ArrayList<>();
		List<EndpointChooser.Candidate> yielding = new ArrayList<>();
		for (EndpointChooser.Candidate candidate : endpoints) {
			EndpointView view = candidate.view();
			if (view.leaving()) {
				continue;
			}
			if (!refusedBy.contains(view.id())) {
				open.add(candidate);
			}
			if (view.lowerWorkPresent(work.urgency())) {
				yielding.add(candidate);
			}
		}
		boolean mustYield = work.pressure() == PressurePolicy.PROTECT && !refusedBy.isEmpty() && !yielding.isEmpty();
		return EndpointChooser.choose(mustYield ? yielding : open, work, random, now);
	}

}
