package carawayswitch.guard;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import carawayswitch.message.GuardAssignment;
import carawayswitch.message.GuardMember;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the placement of slots. It guards against an owner and a guardian that fail
 * together in one availability zone, against unbalanced slots, and against slots that
 * move needlessly when a host is added.
 */
class SlotMapTests {

	private static GuardAssignment assignment(int hosts, long epoch) {
		List<GuardMember> members = new ArrayList<>();
		for (int i = 0; i < hosts; i++) {
			members.add(new GuardMember("host-" + i, 1, "zone-" + i % 3));
		}
		return new GuardAssignment("r", epoch, members);
	}

	@ParameterizedTest
	@ValueSource(ints = { 2, 3, 6, 24 })
	void guardianIsInAnotherZoneAndSlotsAreBalanced(int hosts) {
		SlotMap map = SlotMap.of(assignment(hosts, 1));
		Map<String, Integer> owned = new HashMap<>();
		for (int slot = 0; slot < SlotMap.SLOT_COUNT; slot++) {
			assertThat(map.guardian(slot).zone()).isNotEqualTo(map.owner(slot).zone());
			owned.merge(map.owner(slot).host(), 1, Integer::sum);
		}
		assertThat(owned).hasSize(hosts);
		assertThat(owned.values()).allMatch((count) -> count < 3 * SlotMap.SLOT_COUNT / hosts);
	}

	@ParameterizedTest
	@ValueSource(ints = { 3, 6, 24 })
	void addedHostMovesOnlyTheSlotsThatItOwns(int hosts) {
		SlotMap before = SlotMap.of(assignment(hosts, 1));
		SlotMap after = SlotMap.of(assignment(hosts + 1, 2));
		for (int slot = 0; slot < SlotMap.SLOT_COUNT; slot++) {
			boolean moved = !before.owner(slot).equals(after.owner(slot));
			assertThat(moved).isEqualTo(after.owner(slot).host().equals("host-" + hosts));
		}
	}

}
