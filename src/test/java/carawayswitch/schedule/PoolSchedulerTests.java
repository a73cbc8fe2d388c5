package carawayswitch.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import carawayswitch.config.PressurePolicy;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of who waits, who is refused and where work goes. Each test names the pattern of
 * load that it answers.
 */
class PoolSchedulerTests {

	private static final int URGENT = 4;

	private static final int ORDINARY = 3;

	private static final int SLACK = 2;

	private final PoolScheduler scheduler = new PoolScheduler();

	private int ids;

	private PoolDemand demand(int urgency, String organisation, long now) {
		return demand(urgency, organisation, now, 400, 3000);
	}

	private PoolDemand demand(int urgency, String organisation, long now, long objective, long patience) {
		Work work = new Work("w" + this.ids++, urgency, "kind" + urgency, 1, organisation, 1, PressurePolicy.WAIT, 600,
				0, 0, 100, 0, now, now + patience);
		return new PoolDemand(work, "host", "a", now + objective, Set.of(), now + 15_000, "");
	}

	private void engines(String... ids) {
		List<PoolEngine> engines = new ArrayList<>();
		for (String id : ids) {
			engines.add(new PoolEngine(id, "a", 2, 0));
		}
		this.scheduler.engines(engines);
	}

	private List<PoolDecision> offer(PoolDemand demand, long now) {
		this.scheduler.offer(demand, now);
		return this.scheduler.decide(now);
	}

	private List<String> grants(List<PoolDecision> decisions) {
		return decisions.stream().filter(PoolDecision::granted).map((each) -> each.demand().work().id()).toList();
	}

	@Test
	void steadyLoadStartsAtOnceAndNeverBeyondTheSlots() {
		engines("e1", "e2");
		int granted = 0;
		for (int i = 0; i < 6; i++) {
			granted += grants(offer(demand(URGENT, "o", 0), 0)).size();
		}
		assertThat(granted).isEqualTo(4);
		assertThat(this.scheduler.runningCount()).isEqualTo(4);
		assertThat(this.scheduler.waitingCount()).isEqualTo(2);
	}

	@Test
	void floodOfTheLeastUrgentWaitsBehindTheUrgent() {
		engines("e1");
		offer(demand(SLACK, "o", 0), 0);
		offer(demand(SLACK, "o", 0), 0);
		offer(demand(SLACK, "o", 0), 0);
		PoolDemand urgent = demand(URGENT, "o", 1);
		offer(urgent, 1);
		this.scheduler.ended("w0", AttemptResult.ANSWERED, 100, 50, 50);
		assertThat(grants(this.scheduler.decide(50))).containsExactly(urgent.id());
	}

	@Test
	void slotsAreKeptFreeWhileUrgentWorkIsAbout() {
		String[] ids = new String[10];
		java.util.Arrays.setAll(ids, (i) -> "e" + i);
		engines(ids);
		this.scheduler.withdraw(offer(demand(URGENT, "o", 0), 0).get(0).demand().id());
		int started = 0;
		for (int i = 0; i < 30; i++) {
			started += grants(offer(demand(ORDINARY, "o", 1), 1)).size();
		}
		assertThat(started).isLessThan(20);
		assertThat(grants(offer(demand(URGENT, "o", 2), 2))).hasSize(1);
	}

	@Test
	void burstBeyondCapacityServesFirstWhatCanStillBeOnTime() {
		engines("e1");
		offer(demand(URGENT, "o", 0), 0);
		offer(demand(URGENT, "o", 0), 0);
		PoolDemand tooLate = demand(URGENT, "o", 0, 400, 3000);
		offer(tooLate, 0);
		PoolDemand onTime = demand(URGENT, "o", 500, 400, 3000);
		offer(onTime, 500);
		this.scheduler.ended("w0", AttemptResult.ANSWERED, 100, 50, 510);
		assertThat(grants(this.scheduler.decide(510))).containsExactly(onTime.id());
		this.scheduler.ended("w1", AttemptResult.ANSWERED, 100, 50, 520);
		assertThat(grants(this.scheduler.decide(520))).containsExactly(tooLate.id());
	}

	@Test
	void workThatCannotStartInTimeIsRefusedWhenItComes() {
		engines("e1");
		List<PoolDecision> last = List.of();
		for (int i = 0; i < 20; i++) {
			last = offer(demand(URGENT, "o", 0, 400, 1500), 0);
		}
		assertThat(last).hasSize(1);
		assertThat(last.get(0).granted()).isFalse();
		assertThat(last.get(0).retryAfterMillis()).isGreaterThanOrEqualTo(PoolScheduler.MIN_RETRY_MILLIS);
	}

	@Test
	void largeRequestThatNoEngineReadsInTimeWaitsLikeASmallOne() {
		engines("e1");
		for (int i = 0; i < 8; i++) {
			offer(demand(URGENT, "o", 0), 0);
		}
		this.scheduler.ended("w0", AttemptResult.ANSWERED, 100, 50, 100);
		this.scheduler.decide(100);
		Work large = new Work("large", URGENT, "report", 1, "other", 1, PressurePolicy.WAIT, 100_000, 0, 0, 100, 0, 100,
				3100);
		PoolDemand demand = new PoolDemand(large, "host", "a", 1100, Set.of(), 15_000, "");
		assertThat(offer(demand, 100)).isEmpty();
		assertThat(this.scheduler.waitingCount()).isPositive();
		this.scheduler.ended("w1", AttemptResult.ANSWERED, 100, 50, 110);
		this.scheduler.ended("w2", AttemptResult.ANSWERED, 100, 50, 110);
		assertThat(grants(this.scheduler.decide(110))).contains("large");
	}

	@Test
	void floodOfOneOrganisationWaitsBehindItself() {
		engines("e1");
		offer(demand(URGENT, "large", 0), 0);
		offer(demand(URGENT, "large", 0), 0);
		offer(demand(URGENT, "large", 0), 0);
		offer(demand(URGENT, "large", 0), 0);
		PoolDemand small = demand(URGENT, "small", 1);
		offer(small, 1);
		List<String> order = new ArrayList<>();
		for (String ended : List.of("w0", "w1")) {
			this.scheduler.ended(ended, AttemptResult.ANSWERED, 100, 50, 60);
			order.addAll(grants(this.scheduler.decide(60)));
		}
		assertThat(order).contains(small.id());
	}

	@Test
	void slowEngineGetsWorkOnlyWhenOthersAreFull() {
		engines("slow", "fast");
		for (int i = 0; i < 20; i++) {
			PoolDecision decision = offer(demand(URGENT, "o", i), i).get(0);
			boolean slow = decision.engine().equals("slow");
			this.scheduler.firstEvent(decision.demand().id(), slow ? 400 : 40);
			this.scheduler.ended(decision.demand().id(), AttemptResult.ANSWERED, 100, slow ? 2000 : 200, i);
		}
		assertThat(offer(demand(URGENT, "o", 100), 100).get(0).engine()).isEqualTo("fast");
		assertThat(offer(demand(URGENT, "o", 100), 100).get(0).engine()).isEqualTo("fast");
		assertThat(offer(demand(URGENT, "o", 100), 100).get(0).engine()).isEqualTo("slow");
	}

	@Test
	void silentEngineGetsNoMoreWorkUntilItAnswers() {
		engines("e1", "e2");
		String silent = offer(demand(URGENT, "o", 0), 0).get(0).engine();
		long overdue = 2000;
		this.scheduler.decide(overdue);
		assertThat(offer(demand(URGENT, "o", overdue), overdue).get(0).engine()).isNotEqualTo(silent);
		this.scheduler.firstEvent("w0", 2100);
		assertThat(this.scheduler.decide(2100)).isEmpty();
	}

	@ParameterizedTest
	@ValueSource(ints = { 0, 1 })
	void hostThatDiesGivesItsPlacesBack(int waiting) {
		engines("e1");
		for (int i = 0; i < 2 + waiting; i++) {
			offer(demand(URGENT, "o", 0), 0);
		}
		assertThat(this.scheduler.hostLost("host")).hasSize(2 + waiting);
		assertThat(this.scheduler.runningCount() + this.scheduler.waitingCount()).isZero();
		assertThat(grants(offer(demand(URGENT, "o", 1), 1))).hasSize(1);
	}

	@Test
	void newOwnerCountsWhatRunsAlready() {
		engines("e1");
		this.scheduler.adopt(demand(URGENT, "o", 0), "e1", 0);
		this.scheduler.adopt(demand(URGENT, "o", 0), "e1", 0);
		assertThat(grants(offer(demand(URGENT, "o", 1), 1))).isEmpty();
		this.scheduler.ended("w0", AttemptResult.ANSWERED, 1, 1, 2);
		assertThat(grants(this.scheduler.decide(2))).hasSize(1);
	}

	@Test
	void engineThatLeavesGetsNothingNew() {
		engines("e1", "e2");
		String first = offer(demand(URGENT, "o", 0), 0).get(0).engine();
		engines(first.equals("e1") ? "e2" : "e1");
		for (int i = 0; i < 2; i++) {
			assertThat(offer(demand(URGENT, "o", 1), 1).get(0).engine()).isNotEqualTo(first);
		}
		assertThat(offer(demand(URGENT, "o", 1), 1)).isEmpty();
	}

	@Test
	void sameDemandTwiceIsDecidedOnce() {
		engines("e1");
		PoolDemand demand = demand(URGENT, "o", 0);
		assertThat(grants(offer(demand, 0))).hasSize(1);
		assertThat(offer(demand, 1)).isEmpty();
		assertThat(this.scheduler.engineOf(demand.id())).isEqualTo("e1");
	}

}
