package carawayswitch.schedule;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import carawayswitch.config.Tier;

/**
 * Hierarchical fair queue: strict priority by urgency, then weighted fair queueing by
 * kind of work, then by organisation, then order of arrival. Removed work stays in its
 * organisation's queue as a tombstone until it reaches the head. Not thread-safe.
 */
final class HierarchicalFairQueue {

	private final List<WeightedFairGroup<KindQueue>> urgencyLevels = new ArrayList<>();

	private final double[] levelCost;

	private final Map<String, Work> byId = new HashMap<>();

	private long bytes;

	HierarchicalFairQueue() {
		this(Tier.URGENCY_COUNT);
	}

	/**
	 * Creates a queue.
	 * @param levels number of levels of urgency
	 */
	HierarchicalFairQueue(int levels) {
		this.levelCost = new double[levels];
		for (int urgency = 0; urgency < levels; urgency++) {
			this.urgencyLevels.add(new WeightedFairGroup<>());
		}
	}

	void add(Work work) {
		KindQueue kind = this.urgencyLevels.get(work.urgency()).activeFlow(work.kind(), KindQueue::new);
		OrganisationQueue organisation = kind.organisations.activeFlow(work.organisation(), OrganisationQueue::new);
		organisation.entries.addLast(work);
		updateTotals(kind, organisation, work, 1);
		this.byId.put(work.id(), work);
	}

	/**
	 * Adds work at the head of its organisation's queue.
	 * @param work the work
	 */
	void addFirst(Work work) {
		KindQueue kind = this.urgencyLevels.get(work.urgency()).activeFlow(work.kind(), KindQueue::new);
		OrganisationQueue organisation = kind.organisations.activeFlow(work.organisation(), OrganisationQueue::new);
		organisation.entries.addFirst(work);
		updateTotals(kind, organisation, work, 1);
		this.byId.put(work.id(), work);
	}

	/**
	 * Updates counts, costs and bytes after work was added or removed.
	 * @param kind queue of the work's kind
	 * @param organisation queue of the work's organisation
	 * @param work the work
	 * @param sign 1 if it was added, -1 if it was removed
	 */
	private void updateTotals(KindQueue kind, OrganisationQueue organisation, Work work, int sign) {
		double cost = sign * work.cost();
		kind.queuedCost += cost;
		kind.queuedCount += sign;
		organisation.queuedCost += cost;
		organisation.queuedCount += sign;
		this.levelCost[work.urgency()] += cost;
		this.bytes += sign * (long) work.bytes();
	}

	Work peek(int urgency) {
		KindQueue kind = this.urgencyLevels.get(urgency).first();
		if (kind == null) {
			return null;
		}
		OrganisationQueue organisation = kind.organisations.first();
		skipTombstones(organisation);
		return organisation.entries.peekFirst();
	}

	/**
	 * Removes the next work of an urgency and charges its kind and its organisation.
	 * @param urgency the urgency
	 * @return the work, or null if no work of this urgency is queued
	 */
	Work poll(int urgency) {
		Work work = peek(urgency);
		if (work != null) {
			WeightedFairGroup<KindQueue> level = this.urgencyLevels.get(urgency);
			KindQueue kind = level.find(work.kind());
			OrganisationQueue organisation = kind.organisations.find(work.organisation());
			level.charge(kind, work.cost(), work.kindWeight());
			kind.organisations.charge(organisation, work.cost(), work.organisationWeight());
			remove(work.id());
		}
		return work;
	}

	boolean contains(String id) {
		return this.byId.containsKey(id);
	}

	/**
	 * Returns whether this instance is queued; other work with the same id does not
	 * count.
	 * @param work the work
	 * @return true if the instance is queued
	 */
	boolean containsInstance(Work work) {
		return this.byId.get(work.id()) == work;
	}

	Work remove(String id) {
		Work work = this.byId.remove(id);
		if (work == null) {
			return null;
		}
		WeightedFairGroup<KindQueue> level = this.urgencyLevels.get(work.urgency());
		KindQueue kind = level.find(work.kind());
		OrganisationQueue organisation = kind.organisations.find(work.organisation());
		updateTotals(kind, organisation, work, -1);
		if (organisation.queuedCount == 0) {
			// An idle flow may be kept, and be used again for the same work.
			organisation.entries.clear();
			kind.organisations.deactivate(organisation);
		}
		else {
			skipTombstones(organisation);
		}
		if (kind.queuedCount == 0) {
			level.deactivate(kind);
		}
		return work;
	}

	private void skipTombstones(OrganisationQueue organisation) {
		while (!organisation.entries.isEmpty()
				&& this.byId.get(organisation.entries.peekFirst().id()) != organisation.entries.peekFirst()) {
			organisation.entries.removeFirst();
		}
	}

	/**
	 * Replaces the estimated cost that was charged for dispatched work by its actual
	 * cost.
	 * @param work the dispatched work
	 * @param actualCost actual cost of the work
	 */
	void correctCharge(Work work, double actualCost) {
		KindQueue kind = this.urgencyLevels.get(work.urgency()).find(work.kind());
		if (kind == null) {
			return;
		}
		double surplus = work.cost() - actualCost;
		OrganisationQueue organisation = kind.organisations.find(work.organisation());
		if (surplus > 0) {
			this.urgencyLevels.get(work.urgency()).refund(kind, surplus, work.kindWeight());
		}
		else {
			this.urgencyLevels.get(work.urgency()).charge(kind, -surplus, work.kindWeight());
		}
		if (organisation != null && surplus > 0) {
			kind.organisations.refund(organisation, surplus, work.organisationWeight());
		}
		else if (organisation != null) {
			kind.organisations.charge(organisation, -surplus, work.organisationWeight());
		}
	}

	/**
	 * Estimates the cost of the work that will be served before new work: all more urgent
	 * work, plus the work of the same urgency that fair queueing serves first.
	 * @param work the new work
	 * @return the cost in generated tokens
	 */
	double costAhead(Work work) {
		double moreUrgentCost = 0;
		for (int urgency = work.urgency() + 1; urgency < this.levelCost.length; urgency++) {
			moreUrgentCost += this.levelCost[urgency];
		}
		WeightedFairGroup<KindQueue> level = this.urgencyLevels.get(work.urgency());
		KindQueue kind = level.find(work.kind());
		double ownKindCost = 0;
		int kindCount = level.size() + 1;
		if (kind != null) {
			OrganisationQueue organisation = kind.organisations.find(work.organisation());
			double ownOrganisationCost = (organisation != null) ? organisation.queuedCost : 0;
			int organisationCount = kind.organisations.size() + ((organisation != null) ? 0 : 1);
			ownKindCost = Math.min(kind.queuedCost, (ownOrganisationCost + work.cost()) * organisationCount);
			kindCount = level.size();
		}
		return moreUrgentCost + Math.min(this.levelCost[work.urgency()], (ownKindCost + work.cost()) * kindCount);
	}

	/**
	 * Finds work to shed in favour of more urgent work. At each urgency, lowest first,
	 * only the kind with the highest queued cost is considered, and within it only the
	 * organisation with the highest queued cost; its newest sheddable work is chosen.
	 * @param belowUrgency urgency of the new work
	 * @return the work, or null if none may be shed
	 */
	Work shedCandidate(int belowUrgency) {
		for (int urgency = 0; urgency < belowUrgency; urgency++) {
			KindQueue costliest = null;
			for (KindQueue kind : this.urgencyLevels.get(urgency).byStartTag()) {
				costliest = (costliest == null || kind.queuedCost > costliest.queuedCost) ? kind : costliest;
			}
			Work candidate = (costliest != null) ? newestSheddable(costliest) : null;
			if (candidate != null) {
				return candidate;
			}
		}
		return null;
	}

	private Work newestSheddable(KindQueue kind) {
		OrganisationQueue costliest = null;
		for (OrganisationQueue organisation : kind.organisations.byStartTag()) {
			costliest = (costliest == null || organisation.queuedCost > costliest.queuedCost) ? organisation
					: costliest;
		}
		for (var newest = costliest.entries.descendingIterator(); newest.hasNext();) {
			Work work = newest.next();
			if (this.byId.get(work.id()) == work && work.pressure().sheddable()) {
				return work;
			}
		}
		return null;
	}

	List<Work> all() {
		return new ArrayList<>(this.byId.values());
	}

	int highestUrgency() {
		for (int urgency = this.levelCost.length - 1; urgency >= 0; urgency--) {
			if (!this.urgencyLevels.get(urgency).isEmpty()) {
				return urgency;
			}
		}
		return -1;
	}

	int lowestUrgency() {
		for (int urgency = 0; urgency < this.levelCost.length; urgency++) {
			if (!this.urgencyLevels.get(urgency).isEmpty()) {
				return urgency;
			}
		}
		return -1;
	}

	double levelCost(int urgency) {
		return this.levelCost[urgency];
	}

	long bytes() {
		return this.bytes;
	}

	int size() {
		return this.byId.size();
	}

	/**
	 * Queue of one kind of work, shared fairly by organisations.
	 */
	private static final class KindQueue extends WeightedFairGroup.Flow {

		private final WeightedFairGroup<OrganisationQueue> organisations = new WeightedFairGroup<>();

		private double queuedCost;

		private int queuedCount;

		KindQueue(String name) {
			super(name);
		}

	}

	/**
	 * First-in-first-out queue of one organisation within a kind of work.
	 */
	private static final class OrganisationQueue extends WeightedFairGroup.Flow {

		private final Deque<Work> entries = new ArrayDeque<>();

		private double queuedCost;

		private int queuedCount;

		OrganisationQueue(String name) {
			super(name);
		}

	}

}
