package carawayswitch.route;

/**
 * Retry semantics of a request. Immutable.
 */
public enum RequestKind {

	/** May run more than once; always safe to retry. */
	IDEMPOTENT {
		@Override
		public boolean repeatable(boolean resumable) {
			return true;
		}
	},

	/** May run at most once; never retried once it may have run. */
	NON_IDEMPOTENT {
		@Override
		public boolean repeatable(boolean resumable) {
			return false;
		}
	},

	/** Answered by a stream of events; retried only on routes that resume streams. */
	STREAMING {
		@Override
		public boolean repeatable(boolean resumable) {
			return resumable;
		}
	};

	/**
	 * Returns whether a request that may already have run may be retried.
	 * @param resumable true if streams of the route may be resumed
	 * @return true if a retry is allowed
	 */
	public abstract boolean repeatable(boolean resumable);

}
