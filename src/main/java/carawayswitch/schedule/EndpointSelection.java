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

	private EndpointSelection() {
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
			if (view.leaving() || refusedBy.contains(view.id())) {
				continue;
			}
			open.add(candidate);
			if (view.lowerWorkPresent(work.urgency())) {
				yielding.add(candidate);
			}
		}
		boolean mustYield = work.pressure() == PressurePolicy.PROTECT && !refusedBy.isEmpty() && !yielding.isEmpty();
		return EndpointChooser.choose(mustYield ? yielding : open, work, random, now);
	}

}
