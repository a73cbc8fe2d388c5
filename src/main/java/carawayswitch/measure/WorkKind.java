package carawayswitch.measure;

import carawayswitch.config.PressurePolicy;

/**
 * Kinds of work of both example fleets, with mean lengths in tokens and deadlines in
 * milliseconds. The name of a kind is hashed into prefixes. Immutable.
 */
enum WorkKind {

	/** Compliance report. */
	REPORT("north", 4, PressurePolicy.PROTECT, false, 1200, 700, 60_000),

	/** Weigh-slip summary. */
	SUMMARY("north", 2, PressurePolicy.WAIT, true, 500, 80, 20_000),

	/** Crate note, of the same urgency as a summary. */
	NOTE("north", 2, PressurePolicy.WAIT, true, 200, 60, 20_000),

	/** Crate tag. */
	TAG("north", 0, PressurePolicy.PREEMPT, true, 150, 6, 10_000),

	/** Member's order. */
	ORDER("south", 3, PressurePolicy.PROTECT, true, 300, 60, 20_000),

	/** Chat about sizes. */
	CHAT("south", 1, PressurePolicy.WAIT, true, 400, 120, 20_000),

	/** Order summary. */
	ORDER_SUMMARY("south", 1, PressurePolicy.PREEMPT, true, 300, 40, 20_000),

	/** Fitting draft. */
	DRAFT("south", 1, PressurePolicy.WAIT, false, 800, 600, 60_000);

	private final String fleet;

	private final int urgency;

	private final PressurePolicy pressure;

	private final boolean idempotent;

	private final int promptTokens;

	private final int outputTokens;

	private final long deadlineMillis;

	WorkKind(String fleet, int urgency, PressurePolicy pressure, boolean idempotent, int promptTokens, int outputTokens,
			long deadlineMillis) {
		this.fleet = fleet;
		this.urgency = urgency;
		this.pressure = pressure;
		this.idempotent = idempotent;
		this.promptTokens = promptTokens;
		this.outputTokens = outputTokens;
		this.deadlineMillis = deadlineMillis;
	}

	String fleet() {
		return this.fleet;
	}

	int urgency() {
		return this.urgency;
	}

	PressurePolicy pressure() {
		return this.pressure;
	}

	boolean idempotent() {
		return this.idempotent;
	}

	int promptTokens() {
		return this.promptTokens;
	}

	int outputTokens() {
		return this.outputTokens;
	}

	long deadlineMillis() {
		return this.deadlineMillis;
	}

	boolean topTier() {
		return this.pressure == PressurePolicy.PROTECT;
	}

}
