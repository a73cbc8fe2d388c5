package carawayswitch.guard;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

import io.vavr.control.Option;

import carawayswitch.membership.AssignmentPlanner;
import carawayswitch.membership.Membership;
import carawayswitch.message.GrantReply;
import carawayswitch.message.GrantRequest;
import carawayswitch.message.GuardAssignment;
import carawayswitch.message.Handover;
import carawayswitch.message.HandoverReply;
import carawayswitch.message.Heartbeat;
import carawayswitch.message.LeaseReply;
import carawayswitch.message.LeaseRequest;
import carawayswitch.message.Member;
import carawayswitch.message.Message;
import carawayswitch.message.ReleaseReply;
import carawayswitch.message.ReleaseRequest;

/**
 * Simulation of the guards, memberships and planners of a few hosts on a virtual clock,
 * driven by seeded random numbers. It injects delayed, lost and duplicate messages,
 * process pauses, crashes, network partitions, planned stops and outages of the log and
 * the host list. Times are milliseconds.
 */
final class GuardCluster {

	static final String REGION = "r";

	static final GuardTimes GUARD_TIMES = new GuardTimes(1000, 200, 1000, 200, 60_000);

	private static final long STEP_MILLIS = 50;

	private static final long GRANT_REQUEST_TIMEOUT_MILLIS = 300;

	private static final long HOST_LIST_LAG_MILLIS = 1500;

	final Map<String, Set<String>> grantedBy = new TreeMap<>();

	final Map<String, Integer> verdicts = new TreeMap<>();

	private final SplittableRandom random;

	private final FaultRates faults;

	private final List<GuardAssignment> log = new ArrayList<>();

	private final Map<String, Host> hosts = new TreeMap<>();

	private final Map<String, Long> stoppedAt = new HashMap<>();

	private final List<Envelope> network = new ArrayList<>();

	private final List<Key> keys = new ArrayList<>();

	private final Set<String> partitioned = new HashSet<>();

	private long partitionedUntil;

	private long logOutageUntil;

	private long now;

	private int requests;

	GuardCluster(long seed, int size, FaultRates faults) {
		this.random = new SplittableRandom(seed);
		this.faults = faults;
		for (int i = 0; i < size; i++) {
			start("h" + i, 1);
		}
	}

	private Host start(String id, long incarnation) {
		Host host = new Host(id, incarnation);
		this.hosts.put(id, host);
		this.stoppedAt.remove(id);
		return host;
	}

	void run(long duration) {
		long end = this.now + duration;
		while (this.now < end) {
			this.now += STEP_MILLIS;
			injectFaults();
			deliver();
			for (Host host : List.copyOf(this.hosts.values())) {
				if (host.running()) {
					host.step();
				}
			}
			if (this.random.nextInt(100) < 40) {
				requestGrantForRandomKey();
			}
		}
	}

	private void injectFaults() {
		if (this.now >= this.partitionedUntil) {
			this.partitioned.clear();
		}
		for (FaultRates.Kind kind : this.faults.draw(this.random)) {
			Host host = List.copyOf(this.hosts.values()).get(this.random.nextInt(this.hosts.size()));
			switch (kind) {
				case PAUSE -> host.pause(this.now + this.random.nextInt(6000));
				case CRASH -> stopProcess(host, this.random.nextInt(4000));
				case PLANNED_STOP -> host.membership.startLeaving();
				case PARTITION -> partition();
				case LOG_OUTAGE -> startLogOutage(this.now + this.random.nextInt(15_000));
				default -> throw new IllegalStateException(kind.name());
			}
		}
	}

	private void stopProcess(Host host, long restartAfter) {
		host.stopped = true;
		host.restartAt = this.now + 200 + restartAfter;
		this.stoppedAt.put(host.id, this.now);
	}

	private void startLogOutage(long until) {
		this.logOutageUntil = until;
	}

	private void partition() {
		this.partitionedUntil = this.now + this.random.nextInt(8000);
		for (String id : this.hosts.keySet()) {
			if (this.random.nextBoolean()) {
				this.partitioned.add(id);
			}
		}
	}

	private void requestGrantForRandomKey() {
		List<Host> running = this.hosts.values().stream().filter(Host::running).toList();
		if (running.isEmpty()) {
			return;
		}
		boolean repeat = !this.keys.isEmpty() && this.random.nextInt(100) < 60;
		Key key = repeat ? this.keys.get(Math.max(0, this.keys.size() - 1 - this.random.nextInt(12)))
				: new Key("k" + this.keys.size(), this.now + this.random.nextInt(201) - 100);
		if (!repeat) {
			this.keys.add(key);
		}
		running.get(this.random.nextInt(running.size())).requestGrant(key, "q" + this.requests++);
	}

	private void send(Host from, String to, Message message) {
		boolean separated = this.partitioned.contains(from.id) != this.partitioned.contains(to);
		int copies = (separated || this.random.nextInt(1000) < this.faults.lossPermille()) ? 0
				: (this.random.nextInt(1000) < this.faults.duplicationPermille()) ? 2 : 1;
		for (int i = 0; i < copies; i++) {
			boolean slow = this.random.nextInt(1000) < this.faults.longDelayPermille();
			long delay = slow ? this.random.nextInt(4000) : this.random.nextInt(60);
			this.network.add(new Envelope(this.now + delay, from.id, to, message));
		}
	}

	private void deliver() {
		List<Envelope> due = this.network.stream().filter((envelope) -> envelope.deliverAt() <= this.now).toList();
		for (Envelope envelope : due) {
			Host host = this.hosts.get(envelope.to());
			if (host.running()) {
				this.network.remove(envelope);
				host.receive(envelope.from(), envelope.message());
			}
			else if (host.stopped) {
				this.network.remove(envelope);
			}
		}
	}

	private void record(GrantReply reply) {
		this.verdicts.merge(reply.verdict(), 1, Integer::sum);
		if (reply.verdict().equals(GrantVerdict.GRANTED.name())) {
			this.grantedBy.computeIfAbsent(reply.key(), (key) -> new HashSet<>()).add(reply.requestId());
		}
	}

	record Key(String name, long mintedMillis) {

	}

	private record Envelope(long deliverAt, String from, String to, Message message) {

	}

	private record PendingGrantRequest(Key key, String requestId, int candidate, long retryAt, long giveUpAt) {

	}

	/**
	 * A simulated host with its own offsets of the monotonic and the wall clock.
	 */
	private final class Host {

		private final String id;

		private final long incarnation;

		private final long monotonicOffset;

		private final long wallOffset;

		private final Membership membership;

		private final KeyGuard guard;

		private final AssignmentPlanner planner = new AssignmentPlanner(2 * STEP_MILLIS,
				GUARD_TIMES.minAssignmentIntervalMillis());

		private final List<PendingGrantRequest> pending = new ArrayList<>();

		private int appliedRecords;

		private long pausedUntil;

		private boolean stopped;

		private long restartAt;

		private long leavingSince = -1;

		Host(String id, long incarnation) {
			this.id = id;
			this.incarnation = incarnation;
			this.monotonicOffset = GuardCluster.this.random.nextInt(1_000_000);
			this.wallOffset = GuardCluster.this.random.nextInt(201) - 100;
			String zone = "z" + id.charAt(1) % 3;
			this.membership = new Membership(new Member(id, incarnation, 0, zone, REGION, id, false, 0), 4,
					GUARD_TIMES.unreachableAfterMillis());
			this.guard = new KeyGuard(id, incarnation, GUARD_TIMES);
		}

		boolean running() {
			if (this.stopped && GuardCluster.this.now >= this.restartAt) {
				start(this.id, this.incarnation + 1);
			}
			return !this.stopped && GuardCluster.this.now >= this.pausedUntil;
		}

		void pause(long until) {
			this.pausedUntil = until;
		}

		private long monotonicMillis() {
			return GuardCluster.this.now + this.monotonicOffset;
		}

		private long wallMillis() {
			return GuardCluster.this.now + this.wallOffset;
		}

		private boolean logReachable() {
			return GuardCluster.this.now >= GuardCluster.this.logOutageUntil
					&& !GuardCluster.this.partitioned.contains(this.id);
		}

		private List<GuardAssignment> history() {
			int from = Math.max(0, this.appliedRecords - 16);
			return GuardCluster.this.log.subList(from, this.appliedRecords);
		}

		private GuardAssignment current() {
			return (this.appliedRecords == 0) ? null : GuardCluster.this.log.get(this.appliedRecords - 1);
		}

		private Reachability reachability() {
			return this.membership.reachability(history(), this.appliedRecords, GUARD_TIMES.unreachableAfterMillis(),
					monotonicMillis());
		}

		void step() {
			boolean pollDue = GuardCluster.this.random.nextInt(5) == 0;
			if (logReachable() && pollDue) {
				applyLog(GuardCluster.this.log.size());
				readList();
			}
			this.guard.tick(reachability(), monotonicMillis(), wallMillis());
			this.guard.leaseRequests(monotonicMillis()).forEach(this::sendOrDeliverLocally);
			this.guard.releaseRequests().forEach(this::sendOrDeliverLocally);
			if (GuardCluster.this.now % (2 * STEP_MILLIS) == 0) {
				this.membership.nextRound(monotonicMillis())
					.forEach((peer) -> sendOrDeliverLocally(peer, heartbeat(false)));
				propose();
			}
			advancePlannedStop();
			sendDueGrantRequests();
		}

		private Heartbeat heartbeat(boolean reply) {
			return new Heartbeat(this.membership.self(), List.of(), this.membership.membersToGossip(monotonicMillis()),
					reply);
		}

		private void readList() {
			List<Member> listed = new ArrayList<>();
			for (Host host : GuardCluster.this.hosts.values()) {
				Long stoppedAt = GuardCluster.this.stoppedAt.get(host.id);
				if (stoppedAt == null || GuardCluster.this.now - stoppedAt < HOST_LIST_LAG_MILLIS) {
					listed.add(new Member(host.id, 0, 0, "", REGION, host.id, false, 0));
				}
			}
			this.membership.onHostList(listed, monotonicMillis());
		}

		private void propose() {
			if (!logReachable() || this.appliedRecords < GuardCluster.this.log.size()) {
				return;
			}
			Option<GuardAssignment> proposal = this.planner.propose(this.membership.view(monotonicMillis()), current(),
					(member) -> this.membership.mayStillRun(member, monotonicMillis()), monotonicMillis());
			proposal.forEach(GuardCluster.this.log::add);
		}

		private void applyLog(int upTo) {
			if (upTo > this.appliedRecords) {
				this.appliedRecords = upTo;
				this.membership.onLogApplied(upTo);
				this.guard.onAssignments(history());
			}
		}

		private void advancePlannedStop() {
			if (!this.membership.self().leaving()) {
				return;
			}
			this.leavingSince = (this.leavingSince < 0) ? GuardCluster.this.now : this.leavingSince;
			long waited = GuardCluster.this.now - this.leavingSince;
			if (waited > 2000) {
				this.guard.handovers(reachability()).forEach(this::sendOrDeliverLocally);
			}
			if (this.guard.heldSlotCount() == 0 && waited > 1000 || waited > 6000) {
				stopProcess(this, 0);
			}
		}

		void requestGrant(Key key, String requestId) {
			this.pending
				.add(new PendingGrantRequest(key, requestId, 0, GuardCluster.this.now, GuardCluster.this.now + 4000));
		}

		private void sendDueGrantRequests() {
			List<PendingGrantRequest> due = this.pending.stream()
				.filter((entry) -> entry.retryAt() <= GuardCluster.this.now)
				.toList();
			this.pending.removeAll(due);
			for (PendingGrantRequest entry : due) {
				List<String> candidates = this.guard.candidates(entry.key().name());
				if (!candidates.isEmpty()) {
					String target = candidates.get(entry.candidate() % candidates.size());
					sendOrDeliverLocally(target, new GrantRequest(entry.key().name(), entry.key().mintedMillis(),
							this.id, this.incarnation, entry.requestId(), 0, 0));
				}
				PendingGrantRequest next = new PendingGrantRequest(entry.key(), entry.requestId(),
						entry.candidate() + 1, GuardCluster.this.now + GRANT_REQUEST_TIMEOUT_MILLIS, entry.giveUpAt());
				if (next.giveUpAt() > GuardCluster.this.now) {
					this.pending.add(next);
				}
			}
		}

		private void sendOrDeliverLocally(String peer, Message message) {
			if (peer.equals(this.id)) {
				receive(peer, message);
			}
			else {
				send(this, peer, message);
			}
		}

		void receive(String from, Message message) {
			if (message instanceof Heartbeat heartbeat) {
				this.membership.onHeartbeat(heartbeat, monotonicMillis());
				if (!heartbeat.reply()) {
					sendOrDeliverLocally(from, heartbeat(true));
				}
				applyLog((int) heartbeat.self().offset());
			}
			else if (message instanceof GrantRequest request) {
				GrantReply reply = this.guard.onGrantRequest(request, monotonicMillis(), wallMillis());
				record(reply);
				sendOrDeliverLocally(from, reply);
			}
			else if (message instanceof GrantReply reply) {
				boolean finalVerdict = !GrantVerdict.valueOf(reply.verdict()).retryable();
				this.pending.removeIf((entry) -> finalVerdict && entry.requestId().equals(reply.requestId()));
			}
			else if (message instanceof LeaseRequest request) {
				sendOrDeliverLocally(from, this.guard.onLeaseRequest(request, reachability(), monotonicMillis()));
			}
			else if (message instanceof LeaseReply reply) {
				this.guard.onLeaseReply(reply);
			}
			else {
				receiveTransfer(from, message);
			}
		}

		private void receiveTransfer(String from, Message message) {
			if (message instanceof ReleaseRequest request) {
				ReleaseReply reply = this.guard.onReleaseRequest(request);
				if (reply != null) {
					sendOrDeliverLocally(from, reply);
				}
			}
			else if (message instanceof ReleaseReply reply) {
				this.guard.onReleaseReply(reply);
			}
			else if (message instanceof Handover handover) {
				sendOrDeliverLocally(from, this.guard.onHandover(handover));
			}
			else if (message instanceof HandoverReply reply) {
				this.guard.onHandoverReply(reply);
			}
		}

	}

}
