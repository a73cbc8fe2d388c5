package carawayswitch.guard;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import carawayswitch.guard.Slot.Authority;
import carawayswitch.message.GrantReply;
import carawayswitch.message.GrantRequest;
import carawayswitch.message.GrantSettled;
import carawayswitch.message.GrantState;
import carawayswitch.message.GuardAssignment;
import carawayswitch.message.GuardMember;
import carawayswitch.message.Handover;
import carawayswitch.message.HandoverReply;
import carawayswitch.message.LeaseReply;
import carawayswitch.message.LeaseRequest;
import carawayswitch.message.ReleaseReply;
import carawayswitch.message.ReleaseRequest;
import carawayswitch.message.SlotState;
import carawayswitch.outcome.Outcome;

/**
 * Grants the right to dispatch requests with an idempotency key. Invariant: a key is
 * granted to at most one request in the whole region.
 * <ul>
 * <li>An owner grants only under a lease of its guardian. The owner measures the lease on
 * its own monotonic clock, starting when it sent the lease request.</li>
 * <li>A guardian grants leases only under the newest assignment that it has applied and
 * only while a majority of the hosts is reachable.</li>
 * <li>A new owner waits until each former holder has released the slot or has been silent
 * for so long that its leases have expired.</li>
 * <li>A holder that may lack earlier grants never grants a key that was created before it
 * took over.</li>
 * </ul>
 * Reads no clock: {@code nowMillis} is monotonic time and {@code wallMillis} wall-clock
 * time, both in milliseconds. Not thread-safe.
 */
public final class KeyGuard {

	private final String host;

	private final long incarnation;

	private final GuardTimes times;

	private final List<Slot> slots = new ArrayList<>();

	private final Map<GuardAssignment, SlotMap> mapsByAssignment = new HashMap<>();

	private SlotMap currentMap;

	private long lastTickMillis = Slot.NEVER;

	/**
	 * Creates a guard without authority over any slot.
	 * @param host id of this host
	 * @param incarnation incarnation number of this host
	 * @param times timeouts and other durations
	 */
	public KeyGuard(String host, long incarnation, GuardTimes times) {
		this.host = host;
		this.incarnation = incarnation;
		this.times = times;
		for (int slot = 0; slot < SlotMap.SLOT_COUNT; slot++) {
			this.slots.add(new Slot(slot));
		}
	}

	/**
	 * Applies a new assignment of the region. An assignment that is not newer than the
	 * current one is ignored.
	 * @param history retained assignments, oldest first; the last one is current
	 */
	public void onAssignments(List<GuardAssignment> history) {
		GuardAssignment last = history.get(history.size() - 1);
		if (this.currentMap != null && last.epoch() <= this.currentMap.epoch()) {
			return;
		}
		this.mapsByAssignment.keySet().retainAll(history);
		List<SlotMap> maps = new ArrayList<>();
		for (GuardAssignment assignment : history) {
			maps.add(this.mapsByAssignment.computeIfAbsent(assignment, SlotMap::of));
		}
		SlotMap previous = this.currentMap;
		this.currentMap = maps.get(maps.size() - 1);
		for (Slot slot : this.slots) {
			boolean unchanged = previous != null && unchangedSince(maps, previous.epoch(), slot.number);
			if (unchanged) {
				slot.authorityEpoch = (slot.authorityEpoch == previous.epoch()) ? this.currentMap.epoch()
						: slot.authorityEpoch;
			}
			else {
				reassign(slot, maps);
			}
		}
	}

	private boolean unchangedSince(List<SlotMap> maps, long epoch, int slot) {
		if (maps.get(0).epoch() > epoch) {
			return false;
		}
		for (SlotMap map : maps) {
			if (map.epoch() >= epoch && !map.sameOwnerAndGuardian(this.currentMap, slot)) {
				return false;
			}
		}
		return true;
	}

	private void reassign(Slot slot, List<SlotMap> maps) {
		slot.guardianLeaseUntilMillis = Slot.NEVER;
		slot.leasedAsGuardian = false;
		slot.pendingReleases.clear();
		if (slot.authority == Authority.NONE) {
			slot.reset();
			slot.relinquished.clear();
		}
		if (isSelf(this.currentMap.owner(slot.number))) {
			startAcquiring(slot, maps);
		}
		else if (slot.authority == Authority.ACQUIRING) {
			slot.authority = Authority.FORMER;
		}
	}

	private void startAcquiring(Slot slot, List<SlotMap> maps) {
		for (SlotMap map : maps.subList(0, maps.size() - 1)) {
			for (GuardMember member : map.candidates(slot.number)) {
				slot.pendingReleases.put(member, map.epoch());
			}
		}
		slot.pendingReleases.keySet().removeIf((member) -> isSelf(member) || slot.relinquished.contains(member));
		if (!slot.keepsFormerState()) {
			slot.authorityInherited = slot.hasAuthority();
			slot.lostHolderEpoch = 0;
		}
		removeCoveredReleases(slot);
		slot.authority = Authority.ACQUIRING;
		slot.acquireAtMillis = Slot.UNSET;
	}

	/**
	 * Removes pending releases of holders under earlier assignments whose grants are all
	 * known already.
	 * @param slot the slot
	 */
	private static void removeCoveredReleases(Slot slot) {
		slot.pendingReleases.values().removeIf((epoch) -> slot.authorityInherited && epoch < slot.grantsKnownFromEpoch);
	}

	/**
	 * Evaluates a request for a grant. The grant is recorded if the verdict is
	 * {@link GrantVerdict#GRANTED}.
	 * @param request the request
	 * @param nowMillis monotonic time in milliseconds
	 * @param wallMillis wall-clock time in milliseconds since the epoch
	 * @return the verdict
	 */
	public GrantReply onGrantRequest(GrantRequest request, long nowMillis, long wallMillis) {
		Slot slot = this.slots.get(SlotMap.slotOf(request.key()));
		GrantVerdict rejection = rejection(slot, request, nowMillis, wallMillis);
		if (rejection != null) {
			return grantReply(request, rejection, null);
		}
		GrantState grant = slot.grants.get(request.key());
		if (grant == null && request.mintedMillis() < slot.floorMillis) {
			return grantReply(request, GrantVerdict.UNKNOWN, null);
		}
		if (grant == null) {
			grant = new GrantState(request.key(), request.mintedMillis(), request.host(), request.incarnation(),
					request.requestId(), request.fingerprint());
			slot.grants.put(request.key(), grant);
			return grantReply(request, GrantVerdict.GRANTED, grant);
		}
		if (grant.fingerprint() != request.fingerprint()) {
			return grantReply(request, GrantVerdict.CONFLICT, null);
		}
		return grantReply(request, holdsGrant(grant, request) ? GrantVerdict.GRANTED : GrantVerdict.HELD, grant);
	}

	private GrantVerdict rejection(Slot slot, GrantRequest request, long nowMillis, long wallMillis) {
		if (request.mintedMillis() > wallMillis + this.times.maxClockSkewMillis()) {
			return GrantVerdict.FUTURE;
		}
		if (request.mintedMillis() < wallMillis - this.times.dedupeWindowMillis()) {
			return GrantVerdict.EXPIRED;
		}
		if (slot.passive()) {
			return GrantVerdict.NOT_OWNER;
		}
		boolean newerAssignmentExists = request.epoch() > this.currentMap.epoch();
		return (slot.mayGrant(nowMillis) && !handedOver(slot) && !newerAssignmentExists) ? null
				: GrantVerdict.NOT_READY;
	}

	private static boolean holdsGrant(GrantState grant, GrantRequest request) {
		return grant.requestId().equals(request.requestId()) && grant.host().equals(request.host())
				&& grant.incarnation() == request.incarnation();
	}

	private static GrantReply grantReply(GrantRequest request, GrantVerdict verdict, GrantState grant) {
		String holder = (grant != null) ? grant.host() : "";
		long holderIncarnation = (grant != null) ? grant.incarnation() : 0;
		String holderRequest = (grant != null) ? grant.requestId() : "";
		return new GrantReply(request.key(), request.requestId(), verdict.name(), holder, holderIncarnation,
				holderRequest);
	}

	/**
	 * Revokes the grant of a request that was not run, so that its key can be granted
	 * again. Other outcomes leave the grant in place.
	 * @param settled outcome of the request
	 */
	public void onGrantSettled(GrantSettled settled) {
		Map<String, GrantState> grants = this.slots.get(SlotMap.slotOf(settled.key())).grants;
		GrantState grant = grants.get(settled.key());
		boolean notRun = Outcome.ofLabel(settled.outcome()) == Outcome.NOT_RUN;
		if (notRun && grant != null && grant.requestId().equals(settled.requestId())) {
			grants.remove(settled.key());
		}
	}

	/**
	 * Completes due acquisitions, takes over slots of unreachable owners, extends leases
	 * that need no guardian and removes expired grants. Does nothing before the first
	 * assignment and after a pause in which more than the duration of a lease has passed
	 * since the last call.
	 * @param reachability reachability of the other hosts
	 * @param nowMillis monotonic time in milliseconds
	 * @param wallMillis wall-clock time in milliseconds since the epoch
	 */
	public void tick(Reachability reachability, long nowMillis, long wallMillis) {
		boolean paused = nowMillis - this.lastTickMillis > this.times.leaseMillis();
		this.lastTickMillis = nowMillis;
		if (this.currentMap == null || paused) {
			return;
		}
		for (Slot slot : this.slots) {
			slot.removeGrantsOfKeysBefore(
					wallMillis - this.times.dedupeWindowMillis() - this.times.maxClockSkewMillis());
			if (slot.authority == Authority.ACQUIRING) {
				acquire(slot, reachability, nowMillis, wallMillis);
			}
			else if (mayTakeOver(slot, reachability, nowMillis)) {
				slot.reset();
				slot.startActing(this.currentMap.epoch());
				slot.grantsKnownFromEpoch = this.currentMap.epoch();
				slot.floorMillis = wallMillis + this.times.maxClockSkewMillis();
			}
			if (needsNoGuardianLease(slot) && reachability.majorityReachable()) {
				slot.ownerLeaseUntilMillis = nowMillis + this.times.leaseMillis();
			}
		}
	}

	private void acquire(Slot slot, Reachability reachability, long nowMillis, long wallMillis) {
		removeLostHolders(slot, reachability::isReplaced);
		if (slot.acquireAtMillis == Slot.UNSET && reachability.earlierAssignmentsSuperseded()) {
			slot.acquireAtMillis = nowMillis + this.times.authorityExpiryMillis();
		}
		if (!slot.pendingReleases.isEmpty() && nowMillis < slot.acquireAtMillis) {
			return;
		}
		removeLostHolders(slot, (member) -> true);
		if (slot.grantsLost() || !slot.authorityInherited) {
			slot.floorMillis = wallMillis + this.times.maxClockSkewMillis();
		}
		slot.relinquished.clear();
		slot.authority = Authority.OWNER;
		slot.authorityEpoch = this.currentMap.epoch();
		slot.grantsKnownFromEpoch = this.currentMap.epoch();
		slot.ownerLeaseUntilMillis = Slot.NEVER;
	}

	private static void removeLostHolders(Slot slot, Predicate<GuardMember> isLost) {
		slot.pendingReleases.entrySet().removeIf((entry) -> {
			boolean matches = isLost.test(entry.getKey());
			if (matches) {
				slot.lostHolderEpoch = Math.max(slot.lostHolderEpoch, entry.getValue());
			}
			return matches;
		});
	}

	private boolean mayTakeOver(Slot slot, Reachability reachability, long nowMillis) {
		GuardMember guardian = this.currentMap.guardian(slot.number);
		return slot.passive() && !handedOver(slot) && slot.leasedAsGuardian && guardian != null && isSelf(guardian)
				&& nowMillis > slot.guardianLeaseUntilMillis + this.times.leaseMarginMillis()
				&& reachability.majorityReachable() && !reachability.isReachable(this.currentMap.owner(slot.number));
	}

	private boolean needsNoGuardianLease(Slot slot) {
		boolean current = slot.hasAuthority() && slot.authorityEpoch == this.currentMap.epoch() && !handedOver(slot);
		return current && (slot.authority == Authority.ACTING || this.currentMap.guardian(slot.number) == null);
	}

	private boolean handedOver(Slot slot) {
		return slot.relinquished.stream().anyMatch(this::isSelf);
	}

	/**
	 * Returns the lease requests that are due: less than two thirds of the lease is left.
	 * @param nowMillis monotonic time in milliseconds
	 * @return request by host id of the guardian
	 */
	public Map<String, LeaseRequest> leaseRequests(long nowMillis) {
		Map<String, List<Slot>> byGuardian = new HashMap<>();
		for (Slot slot : this.slots) {
			boolean current = slot.authority == Authority.OWNER && slot.authorityEpoch == this.currentMap.epoch();
			boolean due = current && !handedOver(slot)
					&& slot.ownerLeaseUntilMillis - nowMillis < this.times.leaseMillis() * 2 / 3;
			GuardMember guardian = due ? this.currentMap.guardian(slot.number) : null;
			if (guardian != null) {
				byGuardian.computeIfAbsent(guardian.host(), (key) -> new ArrayList<>()).add(slot);
			}
		}
		Map<String, LeaseRequest> requests = new HashMap<>();
		byGuardian.forEach((guardian, due) -> requests.put(guardian,
				new LeaseRequest(this.host, this.incarnation, this.currentMap.epoch(), Slot.numbers(due), nowMillis)));
		return requests;
	}

	/**
	 * Grants or extends leases of slots to their owner.
	 * @param request the owner's request
	 * @param reachability reachability of the other hosts
	 * @param nowMillis monotonic time in milliseconds
	 * @return the reply, with the slots that are leased
	 */
	public LeaseReply onLeaseRequest(LeaseRequest request, Reachability reachability, long nowMillis) {
		List<Slot> leased = new ArrayList<>();
		for (int number : request.slots()) {
			Slot slot = this.slots.get(number);
			if (mayLease(slot, request, reachability)) {
				slot.leasedAsGuardian = true;
				slot.guardianLeaseUntilMillis = nowMillis + this.times.leaseMillis();
				leased.add(slot);
			}
		}
		return new LeaseReply(this.host, request.epoch(), Slot.numbers(leased), request.sentMillis());
	}

	private boolean mayLease(Slot slot, LeaseRequest request, Reachability reachability) {
		if (this.currentMap == null || request.epoch() != this.currentMap.epoch()
				|| !reachability.majorityReachable()) {
			return false;
		}
		GuardMember owner = this.currentMap.owner(slot.number);
		GuardMember guardian = this.currentMap.guardian(slot.number);
		boolean requestedByOwner = owner.host().equals(request.host()) && owner.incarnation() == request.incarnation();
		return requestedByOwner && guardian != null && isSelf(guardian) && slot.passive() && !handedOver(slot)
				&& !slot.relinquished.contains(owner);
	}

	/**
	 * Extends leases according to a guardian's reply. A reply under another epoch is
	 * ignored.
	 * @param reply the guardian's reply
	 */
	public void onLeaseReply(LeaseReply reply) {
		if (this.currentMap == null || reply.epoch() != this.currentMap.epoch()) {
			return;
		}
		for (int number : reply.slots()) {
			Slot slot = this.slots.get(number);
			GuardMember guardian = this.currentMap.guardian(number);
			boolean expected = guardian != null && guardian.host().equals(reply.host());
			if (expected && slot.authority == Authority.OWNER && slot.authorityEpoch == reply.epoch()) {
				slot.ownerLeaseUntilMillis = Math.max(slot.ownerLeaseUntilMillis,
						reply.sentMillis() + this.times.leaseMillis());
			}
		}
	}

	/**
	 * Returns the requests to former holders to release the slots that this host is
	 * acquiring.
	 * @return request by host id of the former holder
	 */
	public Map<String, ReleaseRequest> releaseRequests() {
		Map<String, List<Slot>> byHolder = new HashMap<>();
		for (Slot slot : this.slots) {
			if (slot.authority == Authority.ACQUIRING) {
				for (GuardMember holder : slot.pendingReleases.keySet()) {
					List<Slot> pending = byHolder.computeIfAbsent(holder.host(), (key) -> new ArrayList<>());
					if (!pending.contains(slot)) {
						pending.add(slot);
					}
				}
			}
		}
		Map<String, ReleaseRequest> requests = new HashMap<>();
		byHolder.forEach((holder, pending) -> requests.put(holder,
				new ReleaseRequest(this.host, this.currentMap.epoch(), Slot.numbers(pending))));
		return requests;
	}

	/**
	 * Releases slots to their new owner.
	 * @param request the new owner's request
	 * @return the states of the released slots, or null while this host has not applied
	 * the new assignment
	 */
	public ReleaseReply onReleaseRequest(ReleaseRequest request) {
		if (this.currentMap == null || request.epoch() > this.currentMap.epoch()) {
			return null;
		}
		List<SlotState> states = new ArrayList<>();
		for (int number : request.slots()) {
			Slot slot = this.slots.get(number);
			boolean requestedByNewOwner = this.currentMap.owner(number).host().equals(request.host());
			boolean authorityOutdated = !slot.hasAuthority() || slot.authorityEpoch < request.epoch();
			if (requestedByNewOwner && authorityOutdated && request.epoch() == this.currentMap.epoch()) {
				states.add(release(slot));
			}
		}
		return new ReleaseReply(this.host, request.epoch(), states, this.incarnation);
	}

	private static SlotState release(Slot slot) {
		SlotState state = slot.toSlotState();
		if (slot.hasAuthority()) {
			slot.authorityInherited = true;
			slot.lostHolderEpoch = 0;
		}
		if (slot.authority != Authority.NONE) {
			slot.authority = Authority.FORMER;
			slot.ownerLeaseUntilMillis = Slot.NEVER;
		}
		return state;
	}

	/**
	 * Merges the slot states of a former holder into the slots that this host is
	 * acquiring. A reply under another epoch is ignored.
	 * @param reply the former holder's reply
	 */
	public void onReleaseReply(ReleaseReply reply) {
		if (this.currentMap == null || reply.epoch() != this.currentMap.epoch()) {
			return;
		}
		for (SlotState state : reply.slots()) {
			Slot slot = this.slots.get(state.slot());
			if (slot.authority == Authority.ACQUIRING) {
				slot.merge(state);
				slot.authorityInherited |= state.owned();
				slot.pendingReleases.keySet()
					.removeIf((holder) -> holder.host().equals(reply.host())
							&& holder.incarnation() == reply.incarnation());
				slot.pendingReleases.keySet().removeIf((holder) -> state.owned() && state.gone().contains(holder));
				removeCoveredReleases(slot);
			}
		}
	}

	/**
	 * Stops granting and hands authority over to the next candidate of each slot, for a
	 * graceful shutdown. Must be repeated until the result is empty, because messages may
	 * be lost.
	 * @param reachability reachability of the other hosts
	 * @return handover by id of the receiving host
	 */
	public Map<String, Handover> handovers(Reachability reachability) {
		Map<String, List<SlotState>> byReceiver = new HashMap<>();
		for (Slot slot : this.slots) {
			boolean current = slot.hasAuthority() && slot.authorityEpoch == this.currentMap.epoch();
			GuardMember receiver = current ? receiver(slot, reachability) : null;
			if (receiver != null) {
				slot.ownerLeaseUntilMillis = Slot.NEVER;
				this.currentMap.candidates(slot.number).stream().filter(this::isSelf).forEach(slot.relinquished::add);
				byReceiver.computeIfAbsent(receiver.host(), (key) -> new ArrayList<>()).add(slot.toSlotState());
			}
		}
		Map<String, Handover> messages = new HashMap<>();
		byReceiver.forEach(
				(receiver, states) -> messages.put(receiver, new Handover(this.host, this.currentMap.epoch(), states)));
		return messages;
	}

	private GuardMember receiver(Slot slot, Reachability reachability) {
		List<GuardMember> candidates = this.currentMap.candidates(slot.number);
		int self = 0;
		while (self < candidates.size() && !isSelf(candidates.get(self))) {
			self++;
		}
		boolean nextExists = self + 1 < candidates.size();
		GuardMember next = nextExists ? candidates.get(self + 1) : null;
		return (nextExists && reachability.isReachable(next)) ? next : null;
	}

	/**
	 * Accepts authority from a stopping host.
	 * @param handover the stopping host's message
	 * @return the reply, with the slots over which this host now has authority
	 */
	public HandoverReply onHandover(Handover handover) {
		List<Integer> acceptedSlots = new ArrayList<>();
		boolean current = this.currentMap != null && handover.epoch() == this.currentMap.epoch();
		for (SlotState state : handover.slots()) {
			Slot slot = this.slots.get(state.slot());
			boolean candidate = current && this.currentMap.candidates(state.slot()).stream().anyMatch(this::isSelf);
			if (candidate && slot.passive() && state.owned()) {
				slot.reset();
				slot.merge(state);
				slot.relinquished.addAll(state.gone());
				slot.startActing(this.currentMap.epoch());
			}
			if (candidate && slot.authority == Authority.ACTING) {
				acceptedSlots.add(state.slot());
			}
		}
		return new HandoverReply(this.host, handover.epoch(), acceptedSlots);
	}

	/**
	 * Resets slots that another host has taken over.
	 * @param reply the other host's reply
	 */
	public void onHandoverReply(HandoverReply reply) {
		for (int number : reply.slots()) {
			Slot slot = this.slots.get(number);
			if (handedOver(slot)) {
				slot.reset();
			}
		}
	}

	/**
	 * Returns the number of slots over which this host has authority.
	 * @return number of slots
	 */
	public int heldSlotCount() {
		return (int) this.slots.stream().filter(Slot::hasAuthority).count();
	}

	/**
	 * Returns the highest floor of the slots that this host holds: a key that was created
	 * at or after this time can be granted in each of them.
	 * @return wall-clock time in milliseconds since the epoch, or 0 if this host holds no
	 * slot
	 */
	public long floorMillis() {
		return this.slots.stream().filter(Slot::hasAuthority).mapToLong((slot) -> slot.floorMillis).max().orElse(0);
	}

	/**
	 * Returns the number of slots that this host is acquiring.
	 * @return number of slots
	 */
	public int acquiringSlotCount() {
		return (int) this.slots.stream().filter((slot) -> slot.authority == Authority.ACQUIRING).count();
	}

	/**
	 * Returns the number of grants that this host stores.
	 * @return number of grants
	 */
	public int grantCount() {
		return this.slots.stream().map((slot) -> slot.grants).mapToInt(Map::size).sum();
	}

	/**
	 * Returns the hosts to ask for a grant, in order of preference: owner, guardian,
	 * third candidate.
	 * @param key the qualified key
	 * @return ids of the hosts, empty while there is no assignment
	 */
	public List<String> candidates(String key) {
		if (this.currentMap == null) {
			return List.of();
		}
		Collection<GuardMember> members = this.currentMap.candidates(SlotMap.slotOf(key));
		return members.stream().map(GuardMember::host).toList();
	}

	private boolean isSelf(GuardMember member) {
		return member.host().equals(this.host) && member.incarnation() == this.incarnation;
	}

}
