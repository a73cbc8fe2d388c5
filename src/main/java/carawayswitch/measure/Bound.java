package carawayswitch.measure;

import java.util.function.Predicate;

/**
 * Bounds that measurements of the current policy must satisfy. Immutable.
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

	/**
	 * Lowest share of its goodput that a kind of equal or higher urgency retains while
	 * another kind floods.
	 */
	KEPT_IN_FLOOD("kept by kinds of equal or higher urgency", 0.95, true) {
		@Override
		double measuredValue(Measurement measurement) {
			return measurement.minGoodputRetention();
		}
	},

	/** Share of their goodput that small organisations retain beside a large one. */
	SMALL_ORGANISATIONS("kept by small organisations", 0.95, true) {
		@Override
		double measuredValue(Measurement measurement) {
			Predicate<Request> smallOrganisations = (request) -> !request.flood() && request.kind() == WorkKind.CHAT;
			return (measurement.workload() == Workload.LARGE_ORGANISATION)
					? measurement.withFloods().goodput(smallOrganisations)
							/ measurement.withoutFloods().goodput(smallOrganisations)
					: Double.NaN;
		}
	},

	/** Wasted share of the prefill under floods, as long as no engine is lost. */
	WASTED_PREFILL("wasted prefill in floods", 0.02, false) {
		@Override
		double measuredValue(Measurement measurement) {
			boolean applies = measurement.workload().hasFlood() && !measurement.workload().losesEngine();
			return applies ? measurement.withFloods().wastedPrefillShare() : Double.NaN;
		}
	},

	/** Wasted share of the prefill when an engine is lost. */
	WASTED_PREFILL_LOSS("wasted prefill with an engine lost", 0.05, false) {
		@Override
		double measuredValue(Measurement measurement) {
			return measurement.workload().losesEngine() ? measurement.withFloods().wastedPrefillShare() : Double.NaN;
		}
	},

	/** Number of protected requests shed while less urgent work was queued or ran. */
	PROTECTED_SHED("protected work shed while less urgent work ran", 0, false) {
		@Override
		double measuredValue(Measurement measurement) {
			return measurement.withFloods().protectedShed();
		}
	},

	/** Goodput in tokens as a share of {@link OfflineBound}, under overload. */
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

	/**
	 * Returns the measured value that the limit applies to.
	 * @param measurement measurement of one workload
	 * @return the value, or NaN if the bound does not apply to the workload
	 */
	abstract double measuredValue(Measurement measurement);

	String description() {
		return this.description;
	}

	double limit() {
		return this.limit;
	}

	/**
	 * Compares a measured value with the limit.
	 * @param value the measured value, or NaN if the bound does not apply
	 * @return true if the value is within the limit or the bound does not apply
	 */
	boolean isSatisfiedBy(double value) {
		return Double.isNaN(value) || (this.minimum ? value >= this.limit : value <= this.limit);
	}

	String relation() {
		return this.minimum ? "at least" : "at most";
	}

}
