package carawayswitch.measure;

import java.util.List;
import java.util.Locale;

/**
 * Scheduling policies that are compared. Stateless.
 */
enum MeasuredPolicy {

	/** Round robin over the engines, each of which serves in order of arrival. */
	FIRST_IN_FIRST_OUT {
		@Override
		EngineDispatcher newDispatcher(SimulatedEngine engine) {
			return new BaselineDispatcher(engine.id(), Integer.MAX_VALUE, false);
		}

		@Override
		int selectEngine(List<Integer> outstanding, int turn) {
			return turn % outstanding.size();
		}
	},

	/**
	 * Fewest outstanding requests by the latest report; each engine serves strictly by
	 * urgency.
	 */
	STRICT_TIERS {
		@Override
		EngineDispatcher newDispatcher(SimulatedEngine engine) {
			return new BaselineDispatcher(engine.id(), engine.model().maxRunning(), true);
		}

		@Override
		int selectEngine(List<Integer> outstanding, int turn) {
			int best = 0;
			for (int i = 1; i < outstanding.size(); i++) {
				best = (outstanding.get(i) < outstanding.get(best)) ? i : best;
			}
			return best;
		}
	},

	/** The scheduler of the daemon. */
	CURRENT {
		@Override
		EngineDispatcher newDispatcher(SimulatedEngine engine) {
			return new SchedulerAdapter(engine.id(), engine.model());
		}

		@Override
		int selectEngine(List<Integer> outstanding, int turn) {
			throw new IllegalStateException(
					"policy " + label() + " selects engines by digests, not by reported counts");
		}
	};

	/**
	 * Creates the dispatcher of an engine.
	 * @param engine the engine
	 * @return the dispatcher
	 */
	abstract EngineDispatcher newDispatcher(SimulatedEngine engine);

	/**
	 * Selects the engine for a request.
	 * @param outstanding reported number of outstanding requests of each engine
	 * @param turn number of requests routed before
	 * @return index of the engine
	 * @throws IllegalStateException if the policy selects by digests instead
	 */
	abstract int selectEngine(List<Integer> outstanding, int turn);

	String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
