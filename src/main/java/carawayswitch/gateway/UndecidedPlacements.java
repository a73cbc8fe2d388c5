package carawayswitch.gateway;

import java.util.Collection;
import java.util.List;

import io.activej.reactor.nio.NioReactor;

/**
 * Periodic check of this host's placements that wait for a decision, and of the requests
 * that wait at its {@link LocalPoolOwner}. The check is scheduled only while there are
 * any. Confined to the event loop thread.
 */
final class UndecidedPlacements {

	/**
	 * Time in milliseconds between two scheduling passes of a pool owner with pending
	 * requests; a fraction of the shortest common latency objective.
	 */
	private static final long DECISION_INTERVAL_MILLIS = 25;

	/**
	 * Time in milliseconds between two checks of this host's placements that wait for the
	 * owner's decision.
	 */
	private static final long PENDING_CHECK_INTERVAL_MILLIS = 100;

	/** Time in milliseconds without a decision after which a request is sent again. */
	private static final long RESEND_INTERVAL_MILLIS = 700;

	/**
	 * Time in milliseconds after the wait limit for which a placement still waits for a
	 * decision in flight.
	 */
	static final long DECISION_GRACE_MILLIS = 200;

	private final NioReactor reactor;

	private final Collection<Placement> placements;

	private final LocalPoolOwner localPools;

	private final Listener listener;

	private boolean tickScheduled;

	/** Upper bound on this host's undecided placements; each tick counts them anew. */
	private int maxPending;

	/**
	 * Creates the check without scheduling it.
	 * @param reactor the event loop
	 * @param placements view of all placements of this host
	 * @param localPools pools of this host
	 * @param listener acts on placements that wait too long
	 */
	UndecidedPlacements(NioReactor reactor, Collection<Placement> placements, LocalPoolOwner localPools,
			Listener listener) {
		this.reactor = reactor;
		this.placements = placements;
		this.localPools = localPools;
		this.listener = listener;
	}

	/** Counts a new placement. To be followed by {@link #scheduleIfPending}. */
	void onRequested() {
		this.maxPending++;
	}

	/** Schedules the next check, unless it is scheduled or nothing waits. */
	void scheduleIfPending() {
		if (!this.tickScheduled && (this.maxPending > 0 || this.localPools.owner().waitingCount() > 0)) {
			this.tickScheduled = true;
			this.reactor.delayBackground((this.localPools.owner().waitingCount() > 0) ? DECISION_INTERVAL_MILLIS
					: PENDING_CHECK_INTERVAL_MILLIS, this::tick);
		}
	}

	private void tick() {
		this.tickScheduled = false;
		try {
			resendOrRejectPending(Clocks.monotonicMillis());
			if (this.localPools.owner().waitingCount() > 0) {
				this.localPools.decide();
			}
		}
		finally {
			scheduleIfPending();
		}
	}

	private void resendOrRejectPending(long now) {
		List<Placement> pending = this.placements.stream().filter(Placement::pending).toList();
		this.maxPending = pending.size();
		pending.forEach((placement) -> resendOrReject(placement, now));
	}

	private void resendOrReject(Placement placement, long now) {
		if (now - placement.requestedAt() > placement.waitLimitMillis() + DECISION_GRACE_MILLIS) {
			this.listener.onNoDecision(placement);
		}
		else if (now - placement.lastSentAt() > RESEND_INTERVAL_MILLIS) {
			placement.markResent(now);
			this.listener.resend(placement, now);
		}
	}

	/**
	 * Acts on placements that wait too long.
	 */
	interface Listener {

		/**
		 * Sends a request again, since a message may have been lost.
		 * @param placement its placement
		 * @param now monotonic time in milliseconds
		 */
		void resend(Placement placement, long now);

		/**
		 * Handles the end of the wait for a decision, some time after the wait limit.
		 * @param placement the placement
		 */
		void onNoDecision(Placement placement);

	}

}
