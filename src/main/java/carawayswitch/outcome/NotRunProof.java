package carawayswitch.outcome;

/**
 * Witness that nothing was written to an endpoint and nothing will be. Only this package
 * can create it; see {@link AttemptState} and {@link AttemptTracker}. Immutable.
 */
public final class NotRunProof {

	static final NotRunProof INSTANCE = new NotRunProof();

	private NotRunProof() {
	}

}
