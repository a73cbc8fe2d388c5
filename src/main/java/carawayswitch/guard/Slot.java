package carawayswitch.guard;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import carawayswitch.message.GrantState;
import carawayswitch.message.GuardMember;
import carawayswitch.message.SlotState;

/**
 * State of one slot on one host. Confined to the thread of its {@link KeyGuard}.
 */
final class Slot {

	static final long NEVER = Long.MIN_VALUE / 2;

	static final long UNSET = Long.MAX_VALUE;

	final int number;

	final Map<String, GrantState> grants = new HashMap<>();

	Authority authority = Authority.NONE;

	/** Keys minted before this wall-clock time are not known completely. */
	long floorMillis;

	/** Monotonic time until which this host, as the owner, may grant. */
	long ownerLeaseUntilMillis = NEVER;

	/** Monotonic time until which this host, as the guardian, has leased the slot. */
	long guardianLeaseUntilMillis = NEVER;

	/** True after this host, as the guardian, has leased the slot at least once. */
	boolean leasedAsGuardian;

	/** Former holders that have not answered, with the last epoch that names them. */
	final Map<GuardMember, Long> pendingReleases = new HashMap<>();

	/** Hosts that have given up the slot for good under the newest assignment. */
	final Set<GuardMember> relinquished = new HashSet<>();

	/** Epoch of the newest assignment under which the authority is valid. */
	long authorityEpoch;

	/** True if this host or a former holder that answered held authority. */
	boolean authorityInherited;

	/** Last epoch that names a former holder that could not tell what it knew, or 0. */
	long lostHolderEpoch;

	/** Epoch from which on the grants that were inherited are known. */
	long grantsKnownFromEpoch;

	/** Monotonic time at which silent former holders surely have no authority. */
	long acquireAtMillis = UNSET;

	Slot(int number) {
		this.number = number;
	}

	boolean hasAuthority() {
		return this.authority == Authority.OWNER || this.authority == Authority.ACTING;
	}

	/**
	 * Tells whether the host neither has nor seeks authority.
	 * @return true if another host may be the owner
	 */
	boolean passive() {
		return this.authority == Authority.NONE || this.authority == Authority.FORMER;
	}

	boolean keepsFormerState() {
		return this.authority == Authority.ACQUIRING || this.authority == Authority.FORMER;
	}

	boolean grantsLost() {
		return this.lostHolderEpoch > 0 && this.lostHolderEpoch >= this.grantsKnownFromEpoch;
	}

	SlotState toSlotState() {
		boolean owned = hasAuthority() || keepsFormerState() && this.authorityInherited && !grantsLost();
		return new SlotState(this.number, owned, this.floorMillis, new ArrayList<>(this.grants.values()),
				this.grantsKnownFromEpoch, new ArrayList<>(this.relinquished));
	}

	void merge(SlotState state) {
		for (GrantState grant : state.grants()) {
			this.grants.putIfAbsent(grant.key(), grant);
		}
		this.floorMillis = Math.max(this.floorMillis, state.floorMillis());
		if (state.owned()) {
			this.grantsKnownFromEpoch = Math.max(this.grantsKnownFromEpoch, state.acquiredEpoch());
		}
	}

	void reset() {
		this.authority = Authority.NONE;
		this.ownerLeaseUntilMillis = NEVER;
		this.floorMillis = 0;
		this.grantsKnownFromEpoch = 0;
		this.lostHolderEpoch = 0;
		this.authorityInherited = false;
		this.grants.clear();
	}

	void startActing(long newEpoch) {
		this.authority = Authority.ACTING;
		this.authorityEpoch = newEpoch;
		this.ownerLeaseUntilMillis = NEVER;
	}

	boolean mayGrant(long nowMillis) {
		return hasAuthority() && nowMillis < this.ownerLeaseUntilMillis;
	}

	void removeGrantsOfKeysBefore(long millis) {
		this.grants.values().removeIf((grant) -> grant.mintedMillis() < millis);
	}

	static List<Integer> numbers(List<Slot> slots) {
		return slots.stream().map((slot) -> slot.number).toList();
	}

	/**
	 * What a host may do with a slot.
	 */
	enum Authority {

		/** Nothing. */
		NONE,

		/** The host is the assigned owner and waits for former holders. */
		ACQUIRING,

		/** The host gave up its part and keeps what it knows for later owners. */
		FORMER,

		/** The host is the assigned owner and grants under a lease. */
		OWNER,

		/** The host stands in for the assigned owner. */
		ACTING

	}

}
