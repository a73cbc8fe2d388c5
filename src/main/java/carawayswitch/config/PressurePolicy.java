package carawayswitch.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Load-shedding policy: how work is treated when capacity is short. Immutable.
 */
public enum PressurePolicy {

	/** Never shed while lower-tier work is queued or runs, and never preempted. */
	@JsonProperty("protect")
	PROTECT(false, false),

	/** May be shed while it is queued, but not preempted once it runs. */
	@JsonProperty("wait")
	WAIT(true, false),

	/** May be shed while it is queued and preempted while it runs. */
	@JsonProperty("preempt")
	PREEMPT(true, true);

	private final boolean sheddable;

	private final boolean preemptible;

	PressurePolicy(boolean sheddable, boolean preemptible) {
		this.sheddable = sheddable;
		this.preemptible = preemptible;
	}

	/**
	 * Returns whether queued work may be shed in favour of more urgent work.
	 * @return true if the work may be shed
	 */
	public boolean sheddable() {
		return this.sheddable;
	}

	/**
	 * Returns whether running work may be stopped in favour of more urgent work.
	 * @return true if the work may be preempted
	 */
	public boolean preemptible() {
		return this.preemptible;
	}

}
