package carawayswitch.measure;

import java.util.List;
import java.util.Locale;

/**
 * Policies that are measured side by side. Stateless.
 */
enum MeasuredPolicy {

	/** Engines in turn, in order of arrival. */
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

	/** The engine with the least outstanding work by its report, strictly by urgency. */
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
			throw new IllegalStateException("the current policy chooses by digests");
		}
	};

	abstract EngineDispatcher newDispatcher(SimulatedEngine engine);

	abstract int selectEngine(List<Integer> outstanding, int turn);

	String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
