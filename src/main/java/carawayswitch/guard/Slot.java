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
	long leaseUntil = NEVER;

	/** Monotonic time until which this host, as the guardian, has leased the slot. */
	long leasedUntil = NEVER;

	/** True after this host, as the guardian, has leased the slot at least once. */
	boolean leased;

	/** Former holders that have not answered, with the last epoch that names them. */
	final Map<GuardMember, Long> pendingReleases = new HashMap<>();

	/** Hosts that have given up the slot for good under the newest assignment. */
	final Set<GuardMember> gone = new HashSet<>();

	/** Epoch of the newest assignment under which the authority is valid. */
	long epoch;

	/** True if this host or a former holder that answered held authority. */
	boolean inherited;

	/** Last epoch that names a former holder that could not tell what it knew, or 0. */
	long lostEpoch;

	/** Epoch from which on the grants that were inherited are known. */
	long knownEpoch;

	/** Monotonic time at which silent former holders surely have no authority. */
	long acquireAt = UNSET;

	Slot(int number) {
		this.number = number;
	}

	boolean holds() {
		return this.authority == Authority.OWNER || this.authority == Authority.ACTING;
	}

	/**
	 * Tells whether the host neither has nor seeks authority.
	 * @return true if another host may be the owner
	 */
	boolean idle() {
		return this.authority == Authority.NONE || this.authority == Authority.FORMER;
	}

	boolean remembers() {
		return this.authority == Authority.ACQUIRING || this.authority == Authority.FORMER;
	}

	boolean lost() {
		return this.lostEpoch > 0 && this.lostEpoch >= this.knownEpoch;
	}

	SlotState state() {
		boolean owned = holds() || remembers() && this.inherited && !lost();
		return new SlotState(this.number, owned, this.floorMillis, new ArrayList<>(this.grants.values()),
				this.knownEpoch, new ArrayList<>(this.gone));
	}

	void merge(SlotState state) {
		for (GrantState grant : state.grants()) {
			this.grants.putIfAbsent(grant.key(), grant);
		}
		this.floorMillis = Math.max(this.floorMillis, state.floorMillis());
		if (state.owned()) {
			this.knownEpoch = Math.max(this.knownEpoch, state.acquiredEpoch());
		}
	}

	void forget() {
		this.authority = Authority.NONE;
		this.leaseUntil = NEVER;
		this.floorMillis = 0;
		this.knownEpoch = 0;
		this.lostEpoch = 0;
		this.inherited = false;
		this.grants.clear();
	}

	void act(long newEpoch) {
		this.authority = Authority.ACTING;
		this.epoch = newEpoch;
		this.leaseUntil = NEVER;
	}

	boolean mayGrant(long now) {
		return holds() && now < this.leaseUntil;
	}

	void dropGrantsMintedBefore(long millis) {
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
