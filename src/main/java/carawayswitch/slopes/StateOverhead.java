package carawayswitch.slopes;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import carawayswitch.config.ConfigurationState;
import carawayswitch.config.Endpoint;
import carawayswitch.config.EntityKind;
import carawayswitch.config.Organisation;
import carawayswitch.config.PressurePolicy;
import carawayswitch.guard.GuardTimes;
import carawayswitch.guard.KeyGuard;
import carawayswitch.guard.Reachability;
import carawayswitch.guard.SlotMap;
import carawayswitch.message.ConfigurationChange;
import carawayswitch.message.GrantRequest;
import carawayswitch.message.GuardAssignment;
import carawayswitch.message.GuardMember;
import carawayswitch.message.MessageCodec;
import carawayswitch.schedule.EndpointScheduler;
import carawayswitch.schedule.Work;

/**
 * Measures memory and time of the state that grows with the number of organisations,
 * queued requests and idempotency keys. Stateless.
 */
final class StateOverhead {

	private static final int SAMPLES = 20_000;

	private static final int HOSTS = 330;

	private static final double NANOS_PER_MICRO = 1000;

	private static final String TOKEN_HASH = "0".repeat(64);

	private StateOverhead() {
	}

	/**
	 * Runs all measurements.
	 * @return value of each figure by its name, which includes the unit
	 */
	static Map<String, Double> measure() {
		Map<String, Double> figures = new TreeMap<>();
		measureOrganisations(figures);
		measureGrants(figures);
		measureQueue(figures);
		measureSlots(figures);
		return figures;
	}

	private static void measureOrganisations(Map<String, Double> figures) {
		long heapBytesBefore = ControlOverhead.usedHeapBytes();
		long startNanos = System.nanoTime();
		ConfigurationState state = ConfigurationState.EMPTY;
		for (int i = 0; i < SAMPLES; i++) {
			String body = EntityKind.toJson(new Organisation(TOKEN_HASH, "region-1", 1, 0));
			ConfigurationChange change = new ConfigurationChange("c" + i, "a", 0, "organisation", "fleet/o" + i, 0,
					false, body);
			state = state.fold(i, MessageCodec.encode(change));
		}
		figures.put("fold of a record, microseconds", (System.nanoTime() - startNanos) / NANOS_PER_MICRO / SAMPLES);
		figures.put("organisation in the configuration, bytes",
				(double) (ControlOverhead.usedHeapBytes() - heapBytesBefore) / SAMPLES);
		startNanos = System.nanoTime();
		byte[] snapshot = MessageCodec.encode(state.snapshot());
		figures.put("organisation in a snapshot, bytes", (double) snapshot.length / SAMPLES);
		figures.put("organisation in a snapshot, microseconds to write",
				(System.nanoTime() - startNanos) / NANOS_PER_MICRO / SAMPLES);
	}

	private static void measureGrants(Map<String, Double> figures) {
		GuardMember self = new GuardMember("host", 1, "zone");
		KeyGuard guard = new KeyGuard("host", 1, new GuardTimes(3000, 500, 3000, 1000, 900_000));
		guard.onAssignments(List.of(new GuardAssignment("region-1", 1, List.of(self))));
		for (int i = 0; i < 3; i++) {
			guard.tick(new Reachability(Map.of("host", 1L), true, true), 100 + i * 100, 0);
		}
		long heapBytesBefore = ControlOverhead.usedHeapBytes();
		long startNanos = System.nanoTime();
		for (int i = 0; i < SAMPLES; i++) {
			guard.onGrantRequest(new GrantRequest("fleet/organisation:key-" + i, 2000, "host", 1, "request-" + i, 0, i),
					400, 2000);
		}
		figures.put("grant, microseconds", (System.nanoTime() - startNanos) / NANOS_PER_MICRO / SAMPLES);
		figures.put("grant, bytes",
				(double) (ControlOverhead.usedHeapBytes() - heapBytesBefore) / Math.max(1, guard.grantCount()));
	}

	private static void measureQueue(Map<String, Double> figures) {
		Endpoint endpoint = new Endpoint(List.of("fleet/model"), "http://127.0.0.1:1", "zone", "region", 1, 0, false,
				false);
		EndpointScheduler scheduler = new EndpointScheduler("fleet/e", endpoint, true,
				new EndpointScheduler.QueueLimits(Long.MAX_VALUE, Long.MAX_VALUE));
		long heapBytesBefore = ControlOverhead.usedHeapBytes();
		long startNanos = System.nanoTime();
		for (int i = 0; i < SAMPLES; i++) {
			scheduler.offer(newWork(i), 0);
		}
		figures.put("queued request without its body, bytes",
				(double) (ControlOverhead.usedHeapBytes() - heapBytesBefore) / SAMPLES);
		for (Work work = scheduler.next(1); work != null; work = scheduler.next(1)) {
			scheduler.finished(work.id(), 1);
		}
		figures.put("request through a queue of 20000, microseconds",
				(System.nanoTime() - startNanos) / NANOS_PER_MICRO / SAMPLES);
	}

	private static Work newWork(int index) {
		return new Work("request-" + index, index % 5, "fleet/kind-" + index % 7, 1,
				"fleet/organisation-" + index % 5000, 1, PressurePolicy.WAIT, 100, 0, 0, 100, 400, 0,
				Long.MAX_VALUE / 4);
	}

	private static void measureSlots(Map<String, Double> figures) {
		List<GuardMember> members = new ArrayList<>();
		for (int i = 0; i < HOSTS; i++) {
			members.add(new GuardMember("host-" + i, 1, "zone-" + i % 6));
		}
		GuardAssignment assignment = new GuardAssignment("region-1", 1, members);
		long startNanos = System.nanoTime();
		SlotMap.of(assignment);
		figures.put("assignment of 330 hosts, microseconds to place",
				(System.nanoTime() - startNanos) / NANOS_PER_MICRO);
		figures.put("assignment of 330 hosts, bytes", (double) MessageCodec.encode(assignment).length);
	}

}
