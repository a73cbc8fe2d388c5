package carawayswitch.guard;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.apache.commons.codec.digest.MurmurHash3;

import carawayswitch.message.GuardAssignment;
import carawayswitch.message.GuardMember;

/**
 * Placement of a region's slots on the members of an assignment by rendezvous hashing.
 * The owner of a slot is the member with the highest score, its guardian the one with the
 * highest score in another availability zone, or, without such a member, the one with the
 * next highest score. Immutable.
 */
public final class SlotMap {

	/** Number of slots in a region. */
	public static final int SLOT_COUNT = 256;

	/**
	 * Maximum number of members that may hold authority over a slot under one assignment.
	 */
	static final int MAX_CANDIDATES = 3;

	private final long epoch;

	private final List<List<GuardMember>> candidates;

	private SlotMap(long epoch, List<List<GuardMember>> candidates) {
		this.epoch = epoch;
		this.candidates = candidates;
	}

	/**
	 * Computes the candidates of all slots.
	 * @param assignment the assignment
	 * @return the placement
	 */
	public static SlotMap of(GuardAssignment assignment) {
		List<HashedMember> members = new ArrayList<>();
		for (GuardMember member : assignment.members()) {
			members.add(new HashedMember(member, hash(member.host())));
		}
		List<List<GuardMember>> candidates = new ArrayList<>(SLOT_COUNT);
		for (int slot = 0; slot < SLOT_COUNT; slot++) {
			candidates.add(chooseCandidates(slot, members));
		}
		return new SlotMap(assignment.epoch(), candidates);
	}

	private static List<GuardMember> chooseCandidates(int slot, List<HashedMember> members) {
		List<GuardMember> chosen = new ArrayList<>(MAX_CANDIDATES);
		GuardMember owner = highestScoring(slot, members, chosen, "");
		chosen.add(owner);
		GuardMember guardian = highestScoring(slot, members, chosen, owner.zone());
		if (guardian != null) {
			chosen.add(guardian);
		}
		while (chosen.size() < Math.min(MAX_CANDIDATES, members.size())) {
			chosen.add(highestScoring(slot, members, chosen, ""));
		}
		return List.copyOf(chosen);
	}

	private static GuardMember highestScoring(int slot, List<HashedMember> members, List<GuardMember> excluded,
			String excludedZone) {
		GuardMember best = null;
		int bestScore = 0;
		for (HashedMember hashedMember : members) {
			GuardMember member = hashedMember.member();
			int score = MurmurHash3.hash32(hashedMember.hash(), slot);
			boolean better = best == null || score > bestScore
					|| score == bestScore && member.host().compareTo(best.host()) < 0;
			if (better && !member.zone().equals(excludedZone) && !excluded.contains(member)) {
				best = member;
				bestScore = score;
			}
		}
		return best;
	}

	private static long hash(String text) {
		return MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8))[0];
	}

	/**
	 * Returns the slot that a key hashes to.
	 * @param key the qualified key
	 * @return the number of the slot
	 */
	public static int slotOf(String key) {
		return Math.floorMod(hash(key), SLOT_COUNT);
	}

	/**
	 * Returns the epoch of the assignment.
	 * @return the epoch
	 */
	public long epoch() {
		return this.epoch;
	}

	/**
	 * Returns the members that may hold authority over a slot.
	 * @param slot number of the slot
	 * @return owner, guardian and a third candidate, as far as the assignment has that
	 * many members
	 */
	public List<GuardMember> candidates(int slot) {
		return this.candidates.get(slot);
	}

	GuardMember owner(int slot) {
		return this.candidates.get(slot).get(0);
	}

	GuardMember guardian(int slot) {
		List<GuardMember> members = this.candidates.get(slot);
		return (members.size() > 1) ? members.get(1) : null;
	}

	boolean sameOwnerAndGuardian(SlotMap other, int slot) {
		return owner(slot).equals(other.owner(slot)) && java.util.Objects.equals(guardian(slot), other.guardian(slot));
	}

	/**
	 * A member with the precomputed hash of its host id. Immutable.
	 *
	 * @param member the member
	 * @param hash hash of its host id
	 */
	private record HashedMember(GuardMember member, long hash) {

	}

}
