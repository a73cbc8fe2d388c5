package carawayswitch.config;

import java.util.List;

/**
 * Scheduling requirements of a kind of work. Immutable.
 *
 * @param tier name of the tier, in the profile's own fleet unless qualified
 * @param idempotent true if a request may safely run more than once
 * @param pressure load-shedding policy; {@link PressurePolicy#WAIT} if not set
 * @param kind kind of work; fair queueing shares capacity between kinds
 * @param deadlineMillis time limit of a request in milliseconds, or 0 for the host's
 * default
 * @param expectedTokens expected length of an answer in tokens; 200 if not set
 * @param weight weight in fair queueing between kinds of the same urgency, 1 to 100; 0
 * stands for 1
 */
public record Profile(String tier, boolean idempotent, PressurePolicy pressure, String kind, long deadlineMillis,
		int expectedTokens, int weight) implements Entity {

	private static final int MAX_WEIGHT = 100;

	private static final int DEFAULT_EXPECTED_TOKENS = 200;

	public Profile {
		pressure = (pressure != null) ? pressure : PressurePolicy.WAIT;
		kind = (kind != null) ? kind : "";
		expectedTokens = (expectedTokens > 0) ? expectedTokens : DEFAULT_EXPECTED_TOKENS;
		weight = (weight != 0) ? weight : 1;
	}

	@Override
	public String validationError() {
		if (this.tier == null || this.tier.isBlank()) {
			return "tier is not set; valid: the name of a tier";
		}
		if (this.deadlineMillis < 0) {
			return "deadline_millis is " + this.deadlineMillis + "; valid: 0 or more milliseconds";
		}
		if (this.weight < 1 || this.weight > MAX_WEIGHT) {
			return "weight is " + this.weight + "; valid: 1 to " + MAX_WEIGHT;
		}
		if (this.pressure == PressurePolicy.PREEMPT && !this.idempotent) {
			return "pressure is preempt, but idempotent is false; valid: " + List.of("protect", "wait");
		}
		return "";
	}

}
