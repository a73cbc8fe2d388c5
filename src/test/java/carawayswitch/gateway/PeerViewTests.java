package carawayswitch.gateway;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import carawayswitch.message.GatewayBeat;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of views of many hosts that exchange beats on a virtual clock.
 */
class PeerViewTests {

	private static final long BEAT = GatewayPeers.BEAT_MILLIS;

	/** Time until all hosts notice a death: the dead time and two rounds. */
	private static final long NOTICE = PeerView.DEAD_AFTER_MILLIS + 2 * BEAT;

	private final Map<String, PeerView> views = new TreeMap<>();

	private final Set<String> silent = new HashSet<>();

	private long now = 1000;

	private int messages;

	private static HostRecord record(int index, int capacity, long incarnation) {
		return new HostRecord("host-" + index, "10.0.0." + index + ":7600", "zone-" + index % 3, incarnation, capacity);
	}

	private void start(HostRecord record) {
		PeerView view = new PeerView(record);
		this.views.values().forEach((other) -> view.known(other.self(), this.now));
		this.views.put(record.host(), view);
	}

	private void startFleet(int hosts, int large) {
		for (int i = 0; i < hosts; i++) {
			start(record(i, (i < large) ? 1500 : 360, 1));
		}
		this.views.values().forEach((view) -> this.views.values().forEach((other) -> view.known(other.self(), 0)));
	}

	private GatewayBeat beat(PeerView view, boolean reply) {
		HostRecord self = view.self();
		return new GatewayBeat(self.host(), self.incarnation(), self.address(), self.zone(), view.leaving(), reply,
				self.capacity(), view.leaders(this.now).stream().map(HostRecord::member).toList());
	}

	private void round() {
		for (PeerView view : List.copyOf(this.views.values())) {
			if (this.silent.contains(view.self().host())) {
				continue;
			}
			List<String> targets = view.targets(this.now);
			targets.forEach((target) -> exchange(view, target));
			List<String> found = new ArrayList<>(view.targets(this.now));
			found.removeAll(targets);
			found.forEach((target) -> exchange(view, target));
			view.refresh(this.now);
		}
		this.now += BEAT;
	}

	private void exchange(PeerView view, String target) {
		this.messages++;
		PeerView other = this.views.get(target);
		if (other != null && !this.silent.contains(target)) {
			this.messages++;
			other.heard(beat(view, false), this.now);
			other.refresh(this.now);
			view.heard(beat(other, true), this.now);
		}
	}

	private void play(long millis) {
		long until = this.now + millis;
		while (this.now < until) {
			round();
		}
	}

	private Set<String> owners() {
		Set<String> owners = new HashSet<>();
		this.views.forEach((host, view) -> {
			if (!this.silent.contains(host)) {
				owners.add(view.owner());
			}
		});
		return owners;
	}

	private String owner() {
		assertThat(owners()).hasSize(1);
		return owners().iterator().next();
	}

	@ParameterizedTest
	@ValueSource(ints = { 2, 8, 9, 85, 330 })
	void hostsOfAFleetAgreeOnOneOwnerAfterTwoRounds(int hosts) {
		startFleet(hosts, 1);
		play(2 * BEAT);
		assertThat(owner()).isEqualTo("host-0");
	}

	@ParameterizedTest
	@CsvSource({ "85, 5", "330, 5" })
	void beatsOfALargeFleetGrowWithItsSizeAndNotWithItsSquare(int hosts, int mostForEachHost) {
		startFleet(hosts, 6);
		play(4 * BEAT);
		this.messages = 0;
		round();
		assertThat(this.messages).isLessThanOrEqualTo(hosts * mostForEachHost);
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 7, 40 })
	void deathsOfOwnersInSeriesAreNoticedByAll(int deaths) {
		startFleet(85, 6);
		play(30_000);
		for (int i = 0; i < deaths; i++) {
			this.silent.add(owner());
			play(NOTICE);
		}
		assertThat(this.silent).doesNotContain(owner());
	}

	@ParameterizedTest
	@ValueSource(ints = { 2, 6, 40, 80 })
	void hostsThatDieAtOnceAreReplacedWhenTheyHaveBeenTested(int deaths) {
		startFleet(85, 85);
		play(30_000);
		List<String> ranking = this.views.values().stream().map((view) -> view.self().host()).toList();
		this.silent.addAll(ranking.subList(0, deaths));
		play(NOTICE + 2L * (1 + deaths / PeerView.MAX_TARGETS) * PeerView.TEST_MILLIS);
		assertThat(this.silent).doesNotContain(owner());
	}

	@Test
	void bothLeadersThatDieAtOnceAreReplacedAfterTheDeadTime() {
		startFleet(85, 6);
		play(30_000);
		String first = owner();
		this.silent.add(first);
		play(NOTICE);
		String second = owner();
		this.silent.remove(first);
		play(2 * BEAT);
		this.silent.addAll(Set.of(first, second));
		play(NOTICE);
		assertThat(owner()).isNotIn(first, second);
	}

	@Test
	void hostOfHigherRankThatJoinsIsTakenForOwnerByAllAfterTwoRounds() {
		startFleet(85, 0);
		play(30_000);
		start(record(200, 1500, 1));
		play(2 * BEAT);
		assertThat(owner()).isEqualTo("host-200");
	}

	@Test
	void restartOfALiveHostIsReported() {
		startFleet(3, 0);
		play(BEAT);
		PeerView view = this.views.get("host-0");
		PeerView restarted = new PeerView(record(1, 360, 2));
		assertThat(view.heard(beat(restarted, false), this.now)).isTrue();
		assertThat(view.heard(beat(this.views.get("host-1"), false), this.now)).as("old beat").isFalse();
	}

	@Test
	void leavingHostOwnsNothingAndIsNoLeader() {
		startFleet(9, 1);
		play(2 * BEAT);
		this.views.get("host-0").leave();
		play(2 * BEAT);
		assertThat(owner()).isNotEqualTo("host-0");
	}

	@Test
	void recordThatWasRemovedIsForgottenUnlessItsHostIsLive() {
		startFleet(3, 0);
		play(BEAT);
		PeerView view = this.views.get("host-0");
		view.removed("host-1", this.now);
		assertThat(view.address("host-1")).isNotEmpty();
		view.removed("host-1", this.now + PeerView.DEAD_AFTER_MILLIS);
		assertThat(view.address("host-1")).isEmpty();
	}

}
