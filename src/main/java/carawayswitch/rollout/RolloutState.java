package carawayswitch.rollout;

import java.util.Locale;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * State of a rollout. Immutable.
 */
public enum RolloutState {

	/** The target gets a share of the requests. */
	RUNNING,

	/** The target has replaced the other versions. */
	COMPLETED,

	/** The target gets no requests. */
	ROLLED_BACK;

	/**
	 * Returns the name of the state in records and messages.
	 * @return the lower-case name
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT);
	}

	/**
	 * Finds a state by its name in records and messages.
	 * @param label the lower-case name
	 * @return the state, if there is one of that name
	 */
	public static Optional<RolloutState> of(String label) {
		return Stream.of(values()).filter((state) -> state.label().equals(label)).findFirst();
	}

}
