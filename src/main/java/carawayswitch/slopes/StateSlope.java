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
 * Memory and processor time of the state that grows with organisations, requests and
 * keys. Stateless.
 */
final class StateSlope {

	private static final int COUNT = 20_000;

	private static final int HOSTS = 330;

	private static final double NANOS_PER_MICRO = 1000;

	private static final String HASH = "0".repeat(64);

	private StateSlope() {
	}

	static Map<String, Double> measure() {
		Map<String, Double> figures = new TreeMap<>();
		organisations(figures);
		grants(figures);
		queue(figures);
		slots(figures);
		return figures;
	}

	private static void organisations(Map<String, Double> figures) {
		long heap = ControlSlope.usedHeap();
		long start = System.nanoTime();
		ConfigurationState state = ConfigurationState.EMPTY;
		for (int i = 0; i < COUNT; i++) {
			String body = EntityKind.toJson(new Organisation(HASH, "region-1", 1, 0));
			ConfigurationChange change = new ConfigurationChange("c" + i, "a", 0, "organisation", "fleet/o" + i, 0,
					false, body);
			state = state.apply(i, MessageCodec.encode(change));
		}
		figures.put("fold of a record, microseconds", (System.nanoTime() - start) / NANOS_PER_MICRO / COUNT);
		figures.put("organisation in the configuration, bytes", (double) (ControlSlope.usedHeap() - heap) / COUNT);
		start = System.nanoTime();
		byte[] snapshot = MessageCodec.encode(state.snapshot());
		figures.put("organisation in a snapshot, bytes", (double) snapshot.length / COUNT);
		figures.put("organisation in a snapshot, microseconds to write",
				(System.nanoTime() - start) / NANOS_PER_MICRO / COUNT);
	}

	private static void grants(Map<String, Double> figures) {
		GuardMember self = new GuardMember("host", 1, "zone");
		KeyGuard guard = new KeyGuard("host", 1, new GuardTimes(3000, 500, 3000, 1000, 900_000));
		guard.onAssignments(List.of(new GuardAssignment("region-1", 1, List.of(self))));
		for (int i = 0; i < 3; i++) {
			guard.tick(new Reachability(Map.of("host", 1L), true, true), 100 + i * 100, 0);
		}
		long heap = ControlSlope.usedHeap();
		long start = System.nanoTime();
		for (int i = 0; i < COUNT; i++) {
			guard.onGrantRequest(new GrantRequest("fleet/organisation:key-" + i, 2000, "host", 1, "request-" + i, 0, i),
					400, 2000);
		}
		figures.put("grant, microseconds", (System.nanoTime() - start) / NANOS_PER_MICRO / COUNT);
		figures.put("grant, bytes", (double) (ControlSlope.usedHeap() - heap) / Math.max(1, guard.grantCount()));
	}

	private static void queue(Map<String, Double> figures) {
		Endpoint endpoint = new Endpoint(List.of("fleet/model"), "http://127.0.0.1:1", "zone", "region", 1, 0, false,
				false);
		EndpointScheduler scheduler = new EndpointScheduler("fleet/e", endpoint, true,
				new EndpointScheduler.QueueLimits(Long.MAX_VALUE, Long.MAX_VALUE));
		long heap = ControlSlope.usedHeap();
		long start = System.nanoTime();
		for (int i = 0; i < COUNT; i++) {
			scheduler.offer(work(i), 0);
		}
		figures.put("queued request without its body, bytes", (double) (ControlSlope.usedHeap() - heap) / COUNT);
		for (Work next = scheduler.next(1); next != null; next = scheduler.next(1)) {
			scheduler.onEnded(next.id(), 1);
		}
		figures.put("request through a queue of 20000, microseconds",
				(System.nanoTime() - start) / NANOS_PER_MICRO / COUNT);
	}

	private static Work work(int i) {
		return new Work("request-" + i, i % 5, "fleet/kind-" + i % 7, 1, "fleet/organisation-" + i % 5000, 1,
				PressurePolicy.WAIT, 100, 0, 0, 100, 400, 0, Long.MAX_VALUE / 4);
	}

	private static void slots(Map<String, Double> figures) {
		List<GuardMember> members = new ArrayList<>();
		for (int i = 0; i < HOSTS; i++) {
			members.add(new GuardMember("host-" + i, 1, "zone-" + i % 6));
		}
		GuardAssignment assignment = new GuardAssignment("region-1", 1, members);
		long start = System.nanoTime();
		SlotMap.of(assignment);
		figures.put("assignment of 330 hosts, microseconds to place", (System.nanoTime() - start) / NANOS_PER_MICRO);
		figures.put("assignment of 330 hosts, bytes", (double) MessageCodec.encode(assignment).length);
	}

}
