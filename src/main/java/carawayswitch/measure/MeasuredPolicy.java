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
		EngineFront front(FakeEngine engine) {
			return new BaselineFront(engine.id(), Integer.MAX_VALUE, false);
		}

		@Override
		int route(List<Integer> outstanding, int turn) {
			return turn % outstanding.size();
		}
	},

	/** The engine with the least outstanding work by its report, strictly by urgency. */
	STRICT_TIERS {
		@Override
		EngineFront front(FakeEngine engine) {
			return new BaselineFront(engine.id(), engine.model().maxRunning(), true);
		}

		@Override
		int route(List<Integer> outstanding, int turn) {
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
		EngineFront front(FakeEngine engine) {
			return new SchedulerFront(engine.id(), engine.model());
		}

		@Override
		int route(List<Integer> outstanding, int turn) {
			throw new IllegalStateException("the current policy chooses by digests");
		}
	};

	abstract EngineFront front(FakeEngine engine);

	abstract int route(List<Integer> outstanding, int turn);

	String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
