package carawayswitch.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import carawayswitch.config.Endpoint;
import carawayswitch.config.PressurePolicy;
import carawayswitch.outcome.ErrorKind;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the rules of an endpoint's queue.
 */
class EndpointSchedulerTests {

	private static final long FAR = 10_000_000;

	private int number;

	private static EndpointScheduler scheduler(int concurrency, long maxBytes) {
		Endpoint endpoint = new Endpoint(List.of("f/m"), "http://127.0.0.1:1", "z", "r", concurrency, 0, false, false);
		return new EndpointScheduler("e", endpoint, false, new EndpointScheduler.QueueLimits(maxBytes, FAR));
	}

	private Work work(int urgency, String kind, String organisation, PressurePolicy pressure, long deadline) {
		return new Work("w" + this.number++, urgency, kind, 1, organisation, 1, pressure, 0, 0, 0, 10, 100, 0,
				deadline);
	}

	private Work work(int urgency, String kind, String organisation) {
		return work(urgency, kind, organisation, PressurePolicy.WAIT, FAR);
	}

	@Test
	void moreUrgentWorkIsDispatchedFirst() {
		EndpointScheduler scheduler = scheduler(1, FAR);
		scheduler.offer(work(1, "k", "o"), 0);
		Work first = scheduler.next(0);
		Work low = work(1, "k", "o");
		Work high = work(4, "k", "o");
		scheduler.offer(low, 0);
		scheduler.offer(high, 0);
		scheduler.finished(first.id(), 1);
		assertThat(scheduler.next(1)).isEqualTo(high);
	}

	@Test
	void floodingOrganisationWaitsBehindItself() {
		EndpointScheduler scheduler = scheduler(1, FAR);
		for (int i = 0; i < 100; i++) {
			scheduler.offer(work(2, "k", "large"), 0);
		}
		scheduler.offer(work(2, "k", "small"), 0);
		Work second = null;
		for (int i = 0; i < 3; i++) {
			Work next = scheduler.next(0);
			second = next.organisation().equals("small") ? next : second;
			scheduler.finished(next.id(), 0);
		}
		assertThat(second).isNotNull();
	}

	@Test
	void workThatCannotMeetItsDeadlineIsRefusedBeforeItRuns() {
		EndpointScheduler scheduler = scheduler(1, FAR);
		OfferResult offer = scheduler.offer(work(2, "k", "o", PressurePolicy.WAIT, 1), 0);
		assertThat(offer.rejectionReason()).isEqualTo(ErrorKind.DEADLINE_CANNOT_BE_MET);
	}

	@Test
	void lowerWorkIsDroppedBeforeProtectedWorkIsRefused() {
		EndpointScheduler scheduler = scheduler(1, 250);
		scheduler.offer(work(0, "k", "o"), 0);
		Work low = work(0, "k", "o");
		scheduler.offer(low, 0);
		OfferResult offer = scheduler.offer(work(4, "p", "o", PressurePolicy.PROTECT, FAR), 0);
		assertThat(offer.accepted()).isTrue();
		assertThat(offer.dropped()).containsExactly(low);
	}

	@Test
	void preemptibleWorkYieldsToWaitingProtectedWork() {
		EndpointScheduler scheduler = scheduler(1, FAR);
		Work low = work(0, "k", "o", PressurePolicy.PREEMPT, FAR);
		scheduler.offer(low, 0);
		scheduler.next(0);
		Work high = work(4, "p", "o", PressurePolicy.PROTECT, FAR);
		scheduler.offer(high, 0);
		assertThat(scheduler.selectPreemptionVictim(EndpointScheduler.PREEMPTION_DELAY_MILLIS)).isEqualTo(low);
		scheduler.preempted(low.id(), low, EndpointScheduler.PREEMPTION_DELAY_MILLIS);
		assertThat(scheduler.next(EndpointScheduler.PREEMPTION_DELAY_MILLIS)).isEqualTo(high);
	}

	private static Work atRisk(Work work) {
		return new Work(work.id(), work.urgency(), work.kind(), 1, work.organisation(), 1, work.pressure(), 0, 0, 0, 10,
				100, 0, 1000);
	}

	@Test
	void queuedWorkYieldsWhileMoreUrgentProtectedWorkIsAtRisk() {
		EndpointScheduler scheduler = scheduler(1, FAR);
		scheduler.offer(work(4, "r", "o"), 0);
		scheduler.next(0);
		scheduler.offer(atRisk(work(3, "p", "o", PressurePolicy.PROTECT, 1000)), 0);
		Work low = work(2, "k", "o");
		scheduler.offer(low, 0);
		assertThat(scheduler.takeExpired(400)).isEmpty();
		assertThat(scheduler.takeExpired(600)).containsExactly(low);
		assertThat(scheduler.offer(work(2, "k", "o"), 600).accepted()).isFalse();
		assertThat(scheduler.offer(work(3, "k", "o"), 600).accepted()).isTrue();
		assertThat(scheduler.digest(600).yieldBelow()).isEqualTo(3);
	}

	@Test
	void workYieldsToProtectedWorkThatIsAtRiskElsewhereUntilNothingIsHeardOfIt() {
		EndpointScheduler scheduler = scheduler(1, FAR);
		scheduler.updateRemoteUrgencyFloor("other", 3, 0);
		scheduler.updateRemoteUrgencyFloor("third", 0, 10);
		assertThat(scheduler.offer(work(2, "k", "o"), 20).accepted()).isFalse();
		assertThat(scheduler.offer(work(3, "k", "o"), 20).accepted()).isTrue();
		assertThat(scheduler.offer(work(2, "k", "o"), EndpointScheduler.REMOTE_FLOOR_EXPIRY_MILLIS).accepted())
			.isTrue();
		scheduler.updateRemoteUrgencyFloor("other", 3, 0);
		scheduler.updateRemoteUrgencyFloor("other", 0, 10);
		assertThat(scheduler.offer(work(2, "k", "o"), 20).accepted()).isTrue();
	}

	@Test
	void leavingEndpointTakesNoNewWork() {
		EndpointScheduler scheduler = scheduler(1, FAR);
		scheduler.draining(true);
		assertThat(scheduler.offer(work(4, "k", "o"), 0).rejectionReason()).isEqualTo(ErrorKind.NO_ENDPOINT);
	}

	@Property(tries = 200, seed = "20261204")
	void noActiveOrganisationFallsBehindByMoreThanOneLargestRequest(
			@ForAll @Size(min = 20, max = 60) List<@IntRange(min = 1, max = 50) Integer> lengths) {
		EndpointScheduler scheduler = scheduler(1, FAR);
		Map<String, Double> served = new HashMap<>();
		double largest = 0;
		List<String> organisations = List.of("a", "b", "c");
		for (int i = 0; i < lengths.size(); i++) {
			for (String organisation : organisations) {
				Work work = new Work(organisation + i, 2, "k", 1, organisation, 1, PressurePolicy.WAIT, 0, 0, 0,
						lengths.get((i + organisation.charAt(0)) % lengths.size()), 1, 0, FAR);
				largest = Math.max(largest, work.cost());
				scheduler.offer(work, 0);
			}
		}
		Work running = scheduler.next(0);
		for (int i = 0; i < lengths.size(); i++) {
			served.merge(running.organisation(), running.cost(), Double::sum);
			for (String one : organisations) {
				for (String other : organisations) {
					double ahead = served.getOrDefault(one, 0.0) - served.getOrDefault(other, 0.0);
					assertThat(ahead).isLessThanOrEqualTo(largest);
				}
			}
			finishWithTrueCost(scheduler, running);
			running = scheduler.next(0);
		}
	}

	private static void finishWithTrueCost(EndpointScheduler scheduler, Work running) {
		scheduler.progressed(running.id(), running.expectedTokens(), 1);
		scheduler.finished(running.id(), 1);
	}

	@Property(tries = 200, seed = "20261204")
	void everyQueuedRequestIsDispatchedOnceAndNoneIsLost(
			@ForAll @Size(max = 80) List<@IntRange(min = 0, max = 4) Integer> urgencies) {
		EndpointScheduler scheduler = scheduler(2, FAR);
		List<String> offered = new ArrayList<>();
		for (int i = 0; i < urgencies.size(); i++) {
			Work work = work(urgencies.get(i), "k" + i % 3, "o" + i % 5);
			scheduler.offer(work, 0);
			offered.add(work.id());
		}
		List<String> dispatched = new ArrayList<>();
		for (Work next = scheduler.next(0); next != null; next = scheduler.next(0)) {
			dispatched.add(next.id());
			scheduler.finished(next.id(), 0);
		}
		assertThat(dispatched).containsExactlyInAnyOrderElementsOf(offered);
	}

}
