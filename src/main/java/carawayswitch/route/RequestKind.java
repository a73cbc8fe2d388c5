package carawayswitch.route;

/**
 * What may be repeated of a request. Immutable.
 */
public enum RequestKind {

	/** May run more than once. */
	IDEMPOTENT {
		@Override
		public boolean repeatable(boolean resumable) {
			return true;
		}
	},

	/** May run at most once. */
	NON_IDEMPOTENT {
		@Override
		public boolean repeatable(boolean resumable) {
			return false;
		}
	},

	/** Answered by a stream of events; may run again only where it may be resumed. */
	STREAMING {
		@Override
		public boolean repeatable(boolean resumable) {
			return resumable;
		}
	};

	/**
	 * Returns whether a request that may have run may be sent again.
	 * @param resumable true if streams of the route may be resumed
	 * @return true if it may run once more
	 */
	public abstract boolean repeatable(boolean resumable);

}
