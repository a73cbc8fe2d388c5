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
 * State of one slot of idempotency keys on one host: authority, leases and grants.
 * Confined to the thread of its {@link KeyGuard}.
 */
final class Slot {

	static final long NEVER = Long.MIN_VALUE / 2;

	static final long UNSET = Long.MAX_VALUE;

	final int number;

	final Map<String, GrantState> grants = new HashMap<>();

	Authority authority = Authority.NONE;

	/**
	 * Wall-clock time in milliseconds; the grants of keys created before it are not known
	 * completely.
	 */
	long floorMillis;

	/**
	 * Monotonic time in milliseconds until which this host may grant, as the owner or
	 * acting owner.
	 */
	long ownerLeaseUntilMillis = NEVER;

	/**
	 * Monotonic time in milliseconds until which this host, as the guardian, has leased
	 * the slot to its owner.
	 */
	long guardianLeaseUntilMillis = NEVER;

	/**
	 * True if this host, as the guardian, has leased the slot at least once since its
	 * owner or guardian last changed.
	 */
	boolean leasedAsGuardian;

	/**
	 * Former holders that have not acknowledged a release, with the last epoch that names
	 * them.
	 */
	final Map<GuardMember, Long> pendingReleases = new HashMap<>();

	/** Holders that have permanently given up the slot under the newest assignment. */
	final Set<GuardMember> relinquished = new HashSet<>();

	/** Epoch of the newest assignment under which the authority is valid. */
	long authorityEpoch;

	/**
	 * True if this host or a former holder that answered a release request held
	 * authority.
	 */
	boolean authorityInherited;

	/**
	 * Last epoch that names a former holder whose grants could not be retrieved, or 0.
	 */
	long lostHolderEpoch;

	/** Epoch from which on all inherited grants above the floor are known. */
	long grantsKnownFromEpoch;

	/**
	 * Monotonic time in milliseconds at which the authority of silent former holders has
	 * certainly expired.
	 */
	long acquireAtMillis = UNSET;

	Slot(int number) {
		this.number = number;
	}

	boolean hasAuthority() {
		return this.authority == Authority.OWNER || this.authority == Authority.ACTING;
	}

	/**
	 * Returns whether the host neither has nor is acquiring authority.
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
	 * Authority of a host over a slot.
	 */
	enum Authority {

		/** The host has no authority and retains no grants. */
		NONE,

		/**
		 * The host is the assigned owner and waits for the release of the slot by its
		 * former holders.
		 */
		ACQUIRING,

		/** The host has released the slot and retains its grants for later owners. */
		FORMER,

		/** The host is the assigned owner and grants under a lease. */
		OWNER,

		/** The host is the acting owner: it grants in place of the assigned owner. */
		ACTING

	}

}
