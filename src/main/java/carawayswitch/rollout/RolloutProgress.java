package carawayswitch.rollout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Stored progress of the latest rollout of a service. Immutable; each change has a higher
 * revision. A rollout that has ended stays in its state; another target begins another
 * rollout.
 *
 * @param service name of the service
 * @param rollout id of the rollout
 * @param target target version
 * @param durationMillis time limit in milliseconds
 * @param state state of the rollout
 * @param step number of the step
 * @param revision number of the change, over all rollouts of the service
 * @param startedWallMillis wall-clock time of the start in milliseconds
 * @param stepWallMillis wall-clock time of the start of the step in milliseconds
 * @param elapsedMillis time from the start to this change in milliseconds
 * @param replaced versions that the target replaces
 * @param retired versions that earlier rollouts have replaced or rolled back
 * @param author process of the host that made this change
 * @param exposures requests before this change by process of the host that received them.
 * They are kept one by one, since the counts of a process that goes on include its stored
 * ones, and those of a process that has ended are reported no more
 * @param history orders before that of this rollout
 */
public record RolloutProgress(String service, long rollout, String target, long durationMillis, RolloutState state,
		int step, long revision, long startedWallMillis, long stepWallMillis, long elapsedMillis, Set<String> replaced,
		Set<String> retired, String author, Map<String, Exposure> exposures, History history) {

	/**
	 * Returns the number of attempts that were sent to the target before this change.
	 * @return number of attempts
	 */
	public long sent() {
		return this.exposures.values().stream().mapToLong(Exposure::sent).sum();
	}

	/**
	 * Returns the number of requests for the service before this change.
	 * @return number of requests
	 */
	public long requests() {
		return this.exposures.values().stream().mapToLong(Exposure::requests).sum();
	}

	/**
	 * Creates the progress of a rollout that begins.
	 * @param order the order
	 * @param before progress of the previous rollout of the service, or null
	 * @param versions other versions that serve
	 * @param wallMillis wall-clock time in milliseconds
	 * @param author process of the host that begins it
	 * @return the progress
	 */
	static RolloutProgress begin(RolloutOrder order, RolloutProgress before, Set<String> versions, long wallMillis,
			String author) {
		Set<String> retired = new HashSet<>();
		if (before != null) {
			retired.addAll(before.retired);
			if (before.state == RolloutState.COMPLETED) {
				retired.addAll(before.replaced);
			}
			else {
				retired.add(before.target);
			}
		}
		retired.remove(order.target());
		Set<String> replaced = new HashSet<>(versions);
		replaced.remove(order.target());
		replaced.removeAll(retired);
		long rollout = Math.max(wallMillis, (before != null) ? before.rollout + 1 : 1);
		return new RolloutProgress(order.service(), rollout, order.target(), order.durationMillis(),
				RolloutState.RUNNING, 0, (before != null) ? before.revision + 1 : 1, wallMillis, wallMillis, 0,
				Set.copyOf(replaced), Set.copyOf(retired), author, Map.of(), History.before(order, before));
	}

	/**
	 * Returns the progress after a change.
	 * @param newState the state
	 * @param newStep number of the step
	 * @param moment when the change is made
	 * @return the changed progress
	 */
	RolloutProgress change(RolloutState newState, int newStep, Moment moment) {
		return new RolloutProgress(this.service, this.rollout, this.target, this.durationMillis, newState, newStep,
				moment.revision, this.startedWallMillis,
				(newStep == this.step) ? this.stepWallMillis : moment.wallMillis, moment.elapsedMillis, moment.replaced,
				this.retired, moment.author, moment.exposures, this.history);
	}

	/**
	 * Returns whether another progress of the service is later.
	 * @param other another progress
	 * @return true if this one is older
	 */
	public boolean olderThan(RolloutProgress other) {
		return this.revision < other.revision;
	}

	/**
	 * Returns whether this is the rollout that an order asks for. The same target is the
	 * same order, also if it has ended: a restored store may bring an order again.
	 * @param order an order
	 * @return true if the order begins no other rollout
	 */
	boolean serves(RolloutOrder order) {
		return this.target.equals(order.target()) || outdates(order);
	}

	/**
	 * Returns whether an order is older than the one that began this rollout, and comes
	 * from a restored store. Operators can go back to an earlier target after a restore
	 * by an order with another time limit.
	 * @param order an order
	 * @return true if it was read after a restore and equals an earlier order
	 */
	public boolean outdates(RolloutOrder order) {
		return order.storeEpoch() > this.history.storeEpoch
				&& Long.valueOf(order.durationMillis()).equals(this.history.durations.get(order.target()));
	}

	/**
	 * Requests that one process received, or that all did. Immutable.
	 *
	 * @param sent attempts sent to the target
	 * @param requests requests for the service
	 */
	public record Exposure(long sent, long requests) {

		/**
		 * Combines two counts of one process, which only grow.
		 * @param other the other counts
		 * @return the later counts
		 */
		Exposure later(Exposure other) {
			return new Exposure(Math.max(this.sent, other.sent), Math.max(this.requests, other.requests));
		}

	}

	/**
	 * Orders that began the earlier rollouts of the service. Immutable.
	 *
	 * @param storeEpoch epoch of the store in which the latest order was read
	 * @param durations time limits of the earlier orders in milliseconds, by target
	 */
	public record History(long storeEpoch, Map<String, Long> durations) {

		/** History of a service without an order. */
		public static final History NONE = new History(0, Map.of());

		private static History before(RolloutOrder order, RolloutProgress before) {
			if (before == null) {
				return new History(order.storeEpoch(), Map.of());
			}
			Map<String, Long> durations = new HashMap<>(before.history.durations);
			durations.put(before.target, before.durationMillis);
			return new History(Math.max(order.storeEpoch(), before.history.storeEpoch), Map.copyOf(durations));
		}

	}

	/**
	 * Circumstances of a change. Immutable.
	 *
	 * @param revision number of the change
	 * @param author process of the host that makes it
	 * @param wallMillis wall-clock time in milliseconds
	 * @param elapsedMillis time since the start of the rollout in milliseconds
	 * @param replaced versions that the target replaces
	 * @param exposures requests by process
	 */
	record Moment(long revision, String author, long wallMillis, long elapsedMillis, Set<String> replaced,
			Map<String, Exposure> exposures) {

	}

}
