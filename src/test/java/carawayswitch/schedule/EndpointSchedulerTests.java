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
 * Tests admission, order of dispatch, shedding and preemption at one endpoint. Guards
 * against starvation of small organisations by a large one, rejection of protected work
 * while less urgent work is served, work dispatched after it can no longer meet its
 * deadline, and queued work that is lost or dispatched twice.
 */
class EndpointSchedulerTests {

	private static final long UNLIMITED = 10_000_000;

	private int nextId;

	private static EndpointScheduler scheduler(int concurrency, long maxBytes) {
		Endpoint endpoint = new Endpoint(List.of("f/m"), "http://127.0.0.1:1", "z", "r", concurrency, 0, false, false);
		return new EndpointScheduler("e", endpoint, false, new EndpointScheduler.QueueLimits(maxBytes, UNLIMITED));
	}

	private Work work(int urgency, String kind, String organisation, PressurePolicy pressure, long deadline) {
		return new Work("w" + this.nextId++, urgency, kind, 1, organisation, 1, pressure, 0, 0, 0, 10, 100, 0,
				deadline);
	}

	private Work work(int urgency, String kind, String organisation) {
		return work(urgency, kind, organisation, PressurePolicy.WAIT, UNLIMITED);
	}

	@Test
	void moreUrgentWorkIsDispatchedFirst() {
		EndpointScheduler scheduler = scheduler(1, UNLIMITED);
		scheduler.offer(work(1, "k", "o"), 0);
		Work first = scheduler.next(0);
		Work low = work(1, "k", "o");
		Work high = work(4, "k", "o");
		scheduler.offer(low, 0);
		scheduler.offer(high, 0);
		scheduler.onEnded(first.id(), 1);
		assertThat(scheduler.next(1)).isEqualTo(high);
	}

	@Test
	void organisationWithLongQueueDoesNotDelayOtherOrganisation() {
		EndpointScheduler scheduler = scheduler(1, UNLIMITED);
		for (int i = 0; i < 100; i++) {
			scheduler.offer(work(2, "k", "large"), 0);
		}
		scheduler.offer(work(2, "k", "small"), 0);
		Work dispatchedSmall = null;
		for (int i = 0; i < 3; i++) {
			Work next = scheduler.next(0);
			dispatchedSmall = next.organisation().equals("small") ? next : dispatchedSmall;
			scheduler.onEnded(next.id(), 0);
		}
		assertThat(dispatchedSmall).isNotNull();
	}

	@Test
	void workThatCannotMeetItsDeadlineIsRejectedOnArrival() {
		EndpointScheduler scheduler = scheduler(1, UNLIMITED);
		OfferResult offer = scheduler.offer(work(2, "k", "o", PressurePolicy.WAIT, 1), 0);
		assertThat(offer.rejectionReason()).isEqualTo(ErrorKind.DEADLINE_CANNOT_BE_MET);
	}

	@Test
	void lessUrgentWorkIsShedBeforeProtectedWorkIsRejected() {
		EndpointScheduler scheduler = scheduler(1, 250);
		scheduler.offer(work(0, "k", "o"), 0);
		Work low = work(0, "k", "o");
		scheduler.offer(low, 0);
		OfferResult offer = scheduler.offer(work(4, "p", "o", PressurePolicy.PROTECT, UNLIMITED), 0);
		assertThat(offer.accepted()).isTrue();
		assertThat(offer.shedWork()).containsExactly(low);
	}

	@Test
	void waitingProtectedWorkPreemptsLessUrgentWork() {
		EndpointScheduler scheduler = scheduler(1, UNLIMITED);
		Work low = work(0, "k", "o", PressurePolicy.PREEMPT, UNLIMITED);
		scheduler.offer(low, 0);
		scheduler.next(0);
		Work high = work(4, "p", "o", PressurePolicy.PROTECT, UNLIMITED);
		scheduler.offer(high, 0);
		assertThat(scheduler.selectPreemptionVictim(EndpointScheduler.PREEMPTION_DELAY_MILLIS)).isEqualTo(low);
		scheduler.onPreempted(low.id(), low, EndpointScheduler.PREEMPTION_DELAY_MILLIS);
		assertThat(scheduler.next(EndpointScheduler.PREEMPTION_DELAY_MILLIS)).isEqualTo(high);
	}

	private static Work withShortDeadline(Work work) {
		return new Work(work.id(), work.urgency(), work.kind(), 1, work.organisation(), 1, work.pressure(), 0, 0, 0, 10,
				100, 0, 1000);
	}

	@Test
	void lessUrgentWorkIsShedWhileProtectedWorkIsAtRisk() {
		EndpointScheduler scheduler = scheduler(1, UNLIMITED);
		scheduler.offer(work(4, "r", "o"), 0);
		scheduler.next(0);
		scheduler.offer(withShortDeadline(work(3, "p", "o", PressurePolicy.PROTECT, 1000)), 0);
		Work low = work(2, "k", "o");
		scheduler.offer(low, 0);
		assertThat(scheduler.takeShedWork(400)).isEmpty();
		assertThat(scheduler.takeShedWork(600)).containsExactly(low);
		assertThat(scheduler.offer(work(2, "k", "o"), 600).accepted()).isFalse();
		assertThat(scheduler.offer(work(3, "k", "o"), 600).accepted()).isTrue();
		assertThat(scheduler.digest(600).yieldBelow()).isEqualTo(3);
	}

	@Test
	void remoteUrgencyFloorAppliesUntilItExpiresOrIsCleared() {
		EndpointScheduler scheduler = scheduler(1, UNLIMITED);
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
	void drainingEndpointRejectsNewWork() {
		EndpointScheduler scheduler = scheduler(1, UNLIMITED);
		scheduler.draining(true);
		assertThat(scheduler.offer(work(4, "k", "o"), 0).rejectionReason()).isEqualTo(ErrorKind.NO_ENDPOINT);
	}

	@Property(tries = 200, seed = "20261204")
	void serviceOfBackloggedOrganisationsDiffersByAtMostTheLargestRequest(
			@ForAll @Size(min = 20, max = 60) List<@IntRange(min = 1, max = 50) Integer> lengths) {
		EndpointScheduler scheduler = scheduler(1, UNLIMITED);
		Map<String, Double> servedCosts = new HashMap<>();
		double maxCost = 0;
		List<String> organisations = List.of("a", "b", "c");
		for (int i = 0; i < lengths.size(); i++) {
			for (String organisation : organisations) {
				Work work = new Work(organisation + i, 2, "k", 1, organisation, 1, PressurePolicy.WAIT, 0, 0, 0,
						lengths.get((i + organisation.charAt(0)) % lengths.size()), 1, 0, UNLIMITED);
				maxCost = Math.max(maxCost, work.cost());
				scheduler.offer(work, 0);
			}
		}
		Work running = scheduler.next(0);
		for (int i = 0; i < lengths.size(); i++) {
			servedCosts.merge(running.organisation(), running.cost(), Double::sum);
			for (String first : organisations) {
				for (String second : organisations) {
					double lead = servedCosts.getOrDefault(first, 0.0) - servedCosts.getOrDefault(second, 0.0);
					assertThat(lead).isLessThanOrEqualTo(maxCost);
				}
			}
			finishWithActualCost(scheduler, running);
			running = scheduler.next(0);
		}
	}

	private static void finishWithActualCost(EndpointScheduler scheduler, Work running) {
		scheduler.onProgress(running.id(), running.expectedTokens(), 1);
		scheduler.onEnded(running.id(), 1);
	}

	@Property(tries = 200, seed = "20261204")
	void everyQueuedRequestIsDispatchedExactlyOnce(
			@ForAll @Size(max = 80) List<@IntRange(min = 0, max = 4) Integer> urgencies) {
		EndpointScheduler scheduler = scheduler(2, UNLIMITED);
		List<String> offered = new ArrayList<>();
		for (int i = 0; i < urgencies.size(); i++) {
			Work work = work(urgencies.get(i), "k" + i % 3, "o" + i % 5);
			scheduler.offer(work, 0);
			offered.add(work.id());
		}
		List<String> dispatched = new ArrayList<>();
		for (Work next = scheduler.next(0); next != null; next = scheduler.next(0)) {
			dispatched.add(next.id());
			scheduler.onEnded(next.id(), 0);
		}
		assertThat(dispatched).containsExactlyInAnyOrderElementsOf(offered);
	}

}
