package carawayswitch.measure;

import java.util.function.Predicate;

/**
 * Bounds on the current policy. Each gives the worst figure of a workload that the bound
 * applies to. Stateless.
 */
enum Bound {

	/** Goodput of the top tier under an overload of less urgent work. */
	TOP_TIER_GOODPUT("top-tier goodput", 0.99, true) {
		@Override
		double measuredValue(Measurement measurement) {
			boolean applies = measurement.workload() == Workload.OVERLOAD
					|| measurement.workload() == Workload.NOTE_FLOOD || measurement.workload() == Workload.BUYER_RUSH;
			return applies ? measurement.withFloods().goodput((request) -> request.kind().topTier()) : Double.NaN;
		}
	},

	/** Time to the first token of the top tier under an overload of less urgent work. */
	TOP_TIER_FIRST_TOKEN("top-tier p95 time to first token in ms", 1100, false) {
		@Override
		double measuredValue(Measurement measurement) {
			boolean applies = measurement.workload() == Workload.OVERLOAD;
			return applies ? measurement.withFloods().firstTokenMillis((request) -> request.kind().topTier(), 0.95)
					: Double.NaN;
		}
	},

	/** What kinds of equal or higher urgency keep in a flood of another kind. */
	KEPT_IN_FLOOD("kept by kinds of equal or higher urgency", 0.95, true) {
		@Override
		double measuredValue(Measurement measurement) {
			return measurement.minGoodputRetention();
		}
	},

	/** What small organisations keep beside a large one. */
	SMALL_ORGANISATIONS("kept by small organisations", 0.95, true) {
		@Override
		double measuredValue(Measurement measurement) {
			Predicate<Request> small = (request) -> !request.flood() && request.kind() == WorkKind.CHAT;
			return (measurement.workload() == Workload.LARGE_ORGANISATION)
					? measurement.withFloods().goodput(small) / measurement.withoutFloods().goodput(small) : Double.NaN;
		}
	},

	/** Wasted prefill in floods. */
	WASTED_PREFILL("wasted prefill in floods", 0.02, false) {
		@Override
		double measuredValue(Measurement measurement) {
			boolean applies = measurement.workload().hasFlood() && !measurement.workload().losesEngine();
			return applies ? measurement.withFloods().wastedPrefillShare() : Double.NaN;
		}
	},

	/** Wasted prefill when an engine is lost. */
	WASTED_PREFILL_LOSS("wasted prefill with an engine lost", 0.05, false) {
		@Override
		double measuredValue(Measurement measurement) {
			return measurement.workload().losesEngine() ? measurement.withFloods().wastedPrefillShare() : Double.NaN;
		}
	},

	/** Protected work shed while less urgent work was queued or ran. */
	PROTECTED_SHED("protected work shed while less urgent work ran", 0, false) {
		@Override
		double measuredValue(Measurement measurement) {
			return measurement.withFloods().protectedShed();
		}
	},

	/** Goodput in tokens beside what the engines could generate. */
	TOTAL_GOODPUT("goodput in tokens beside the offline bound", 0.95, true) {
		@Override
		double measuredValue(Measurement measurement) {
			return (measurement.workload() == Workload.OVERLOAD)
					? measurement.withFloods().goodputTokens() / measurement.offlineBoundTokens() : Double.NaN;
		}
	};

	private final String description;

	private final double limit;

	private final boolean minimum;

	Bound(String description, double limit, boolean minimum) {
		this.description = description;
		this.limit = limit;
		this.minimum = minimum;
	}

	abstract double measuredValue(Measurement measurement);

	String description() {
		return this.description;
	}

	double limit() {
		return this.limit;
	}

	boolean isSatisfiedBy(double value) {
		return Double.isNaN(value) || (this.minimum ? value >= this.limit : value <= this.limit);
	}

	String relation() {
		return this.minimum ? "at least" : "at most";
	}

}
