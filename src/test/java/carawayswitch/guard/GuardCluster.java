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
 * Guards, memberships and planners of a few hosts on a virtual clock, with a network that
 * delays, loses and repeats messages, pauses, crashes, partitions, planned stops and
 * outages of the log and of the host list. Times are milliseconds.
 */
final class GuardCluster {

	static final String REGION = "r";

	static final GuardTimes TIMES = new GuardTimes(1000, 200, 1000, 200, 60_000);

	private static final long STEP = 50;

	private static final long ASK_TIMEOUT = 300;

	private static final long LIST_LAG = 1500;

	final Map<String, Set<String>> grantedBy = new TreeMap<>();

	final Map<String, Integer> verdicts = new TreeMap<>();

	private final SplittableRandom random;

	private final Faults faults;

	private final List<GuardAssignment> log = new ArrayList<>();

	private final Map<String, Host> hosts = new TreeMap<>();

	private final Map<String, Long> gone = new HashMap<>();

	private final List<Envelope> network = new ArrayList<>();

	private final List<Key> keys = new ArrayList<>();

	private final Set<String> cutOff = new HashSet<>();

	private long cutUntil;

	private long logDownUntil;

	private long now;

	private int requests;

	GuardCluster(long seed, int size, Faults faults) {
		this.random = new SplittableRandom(seed);
		this.faults = faults;
		for (int i = 0; i < size; i++) {
			start("h" + i, 1);
		}
	}

	private Host start(String id, long incarnation) {
		Host host = new Host(id, incarnation);
		this.hosts.put(id, host);
		this.gone.remove(id);
		return host;
	}

	void run(long duration) {
		long end = this.now + duration;
		while (this.now < end) {
			this.now += STEP;
			injectFaults();
			deliver();
			for (Host host : List.copyOf(this.hosts.values())) {
				if (host.running()) {
					host.step();
				}
			}
			if (this.random.nextInt(100) < 40) {
				sendKey();
			}
		}
	}

	private void injectFaults() {
		if (this.now >= this.cutUntil) {
			this.cutOff.clear();
		}
		for (Faults.Kind kind : this.faults.draw(this.random)) {
			Host host = List.copyOf(this.hosts.values()).get(this.random.nextInt(this.hosts.size()));
			switch (kind) {
				case PAUSE -> host.pause(this.now + this.random.nextInt(6000));
				case CRASH -> crash(host, this.random.nextInt(4000));
				case STOP -> host.membership.leave();
				case CUT -> cut();
				case LOG_DOWN -> stopLog(this.now + this.random.nextInt(15_000));
				default -> throw new IllegalStateException(kind.name());
			}
		}
	}

	private void crash(Host host, long restartAfter) {
		host.dead = true;
		host.restartAt = this.now + 200 + restartAfter;
		this.gone.put(host.id, this.now);
	}

	private void stopLog(long until) {
		this.logDownUntil = until;
	}

	private void cut() {
		this.cutUntil = this.now + this.random.nextInt(8000);
		for (String id : this.hosts.keySet()) {
			if (this.random.nextBoolean()) {
				this.cutOff.add(id);
			}
		}
	}

	private void sendKey() {
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
		running.get(this.random.nextInt(running.size())).ask(key, "q" + this.requests++);
	}

	private void send(Host from, String to, Message message) {
		boolean cutApart = this.cutOff.contains(from.id) != this.cutOff.contains(to);
		int copies = (cutApart || this.random.nextInt(1000) < this.faults.lossPermille()) ? 0
				: (this.random.nextInt(1000) < this.faults.repeatPermille()) ? 2 : 1;
		for (int i = 0; i < copies; i++) {
			boolean slow = this.random.nextInt(1000) < this.faults.slowPermille();
			long delay = slow ? this.random.nextInt(4000) : this.random.nextInt(60);
			this.network.add(new Envelope(this.now + delay, from.id, to, message));
		}
	}

	private void deliver() {
		List<Envelope> due = this.network.stream().filter((envelope) -> envelope.at() <= this.now).toList();
		for (Envelope envelope : due) {
			Host host = this.hosts.get(envelope.to());
			if (host.running()) {
				this.network.remove(envelope);
				host.receive(envelope.from(), envelope.message());
			}
			else if (host.dead) {
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

	record Key(String name, long minted) {

	}

	private record Envelope(long at, String from, String to, Message message) {

	}

	private record Pending(Key key, String requestId, int candidate, long retryAt, long giveUpAt) {

	}

	/**
	 * One host.
	 */
	private final class Host {

		private final String id;

		private final long incarnation;

		private final long clockOffset;

		private final long wallOffset;

		private final Membership membership;

		private final KeyGuard guard;

		private final AssignmentPlanner planner = new AssignmentPlanner(2 * STEP, TIMES.pace());

		private final List<Pending> pending = new ArrayList<>();

		private int folded;

		private long pausedUntil;

		private boolean dead;

		private long restartAt;

		private long leftAt = -1;

		Host(String id, long incarnation) {
			this.id = id;
			this.incarnation = incarnation;
			this.clockOffset = GuardCluster.this.random.nextInt(1_000_000);
			this.wallOffset = GuardCluster.this.random.nextInt(201) - 100;
			String zone = "z" + id.charAt(1) % 3;
			this.membership = new Membership(new Member(id, incarnation, 0, zone, REGION, id, false, 0), 4,
					TIMES.isolation());
			this.guard = new KeyGuard(id, incarnation, TIMES);
		}

		boolean running() {
			if (this.dead && GuardCluster.this.now >= this.restartAt) {
				start(this.id, this.incarnation + 1);
			}
			return !this.dead && GuardCluster.this.now >= this.pausedUntil;
		}

		void pause(long until) {
			this.pausedUntil = until;
		}

		private long mono() {
			return GuardCluster.this.now + this.clockOffset;
		}

		private long wall() {
			return GuardCluster.this.now + this.wallOffset;
		}

		private boolean logReachable() {
			return GuardCluster.this.now >= GuardCluster.this.logDownUntil
					&& !GuardCluster.this.cutOff.contains(this.id);
		}

		private List<GuardAssignment> history() {
			int from = Math.max(0, this.folded - 16);
			return GuardCluster.this.log.subList(from, this.folded);
		}

		private GuardAssignment current() {
			return (this.folded == 0) ? null : GuardCluster.this.log.get(this.folded - 1);
		}

		private Reachability reachability() {
			return this.membership.reachability(history(), this.folded, TIMES.isolation(), mono());
		}

		void step() {
			boolean pollsNow = GuardCluster.this.random.nextInt(5) == 0;
			if (logReachable() && pollsNow) {
				fold(GuardCluster.this.log.size());
				readList();
			}
			this.guard.tick(reachability(), mono(), wall());
			this.guard.leaseRequests(mono()).forEach(this::sendOut);
			this.guard.releaseRequests().forEach(this::sendOut);
			if (GuardCluster.this.now % (2 * STEP) == 0) {
				this.membership.nextRound(mono()).forEach((peer) -> sendOut(peer, heartbeat(false)));
				propose();
			}
			advanceStop();
			advanceAsks();
		}

		private Heartbeat heartbeat(boolean reply) {
			return new Heartbeat(this.membership.self(), List.of(), this.membership.membersToPass(mono()), reply);
		}

		private void readList() {
			List<Member> listed = new ArrayList<>();
			for (Host host : GuardCluster.this.hosts.values()) {
				Long goneAt = GuardCluster.this.gone.get(host.id);
				if (goneAt == null || GuardCluster.this.now - goneAt < LIST_LAG) {
					listed.add(new Member(host.id, 0, 0, "", REGION, host.id, false, 0));
				}
			}
			this.membership.onList(listed, mono());
		}

		private void propose() {
			if (!logReachable() || this.folded < GuardCluster.this.log.size()) {
				return;
			}
			Option<GuardAssignment> proposal = this.planner.propose(this.membership.view(mono()), current(),
					(member) -> this.membership.mayStillRun(member, mono()), mono());
			proposal.forEach(GuardCluster.this.log::add);
		}

		private void fold(int upTo) {
			if (upTo > this.folded) {
				this.folded = upTo;
				this.membership.folded(upTo);
				this.guard.onAssignments(history());
			}
		}

		private void advanceStop() {
			if (!this.membership.self().leaving()) {
				return;
			}
			this.leftAt = (this.leftAt < 0) ? GuardCluster.this.now : this.leftAt;
			long waited = GuardCluster.this.now - this.leftAt;
			if (waited > 2000) {
				this.guard.handovers(reachability()).forEach(this::sendOut);
			}
			if (this.guard.heldSlots() == 0 && waited > 1000 || waited > 6000) {
				crash(this, 0);
			}
		}

		void ask(Key key, String requestId) {
			this.pending.add(new Pending(key, requestId, 0, GuardCluster.this.now, GuardCluster.this.now + 4000));
		}

		private void advanceAsks() {
			List<Pending> due = this.pending.stream()
				.filter((entry) -> entry.retryAt() <= GuardCluster.this.now)
				.toList();
			this.pending.removeAll(due);
			for (Pending entry : due) {
				List<String> candidates = this.guard.candidates(entry.key().name());
				if (!candidates.isEmpty()) {
					String target = candidates.get(entry.candidate() % candidates.size());
					sendOut(target, new GrantRequest(entry.key().name(), entry.key().minted(), this.id,
							this.incarnation, entry.requestId(), 0, 0));
				}
				Pending next = new Pending(entry.key(), entry.requestId(), entry.candidate() + 1,
						GuardCluster.this.now + ASK_TIMEOUT, entry.giveUpAt());
				if (next.giveUpAt() > GuardCluster.this.now) {
					this.pending.add(next);
				}
			}
		}

		private void sendOut(String peer, Message message) {
			if (peer.equals(this.id)) {
				receive(peer, message);
			}
			else {
				send(this, peer, message);
			}
		}

		void receive(String from, Message message) {
			if (message instanceof Heartbeat heartbeat) {
				this.membership.onHeartbeat(heartbeat, mono());
				if (!heartbeat.reply()) {
					sendOut(from, heartbeat(true));
				}
				fold((int) heartbeat.self().offset());
			}
			else if (message instanceof GrantRequest request) {
				GrantReply reply = this.guard.ask(request, mono(), wall());
				record(reply);
				sendOut(from, reply);
			}
			else if (message instanceof GrantReply reply) {
				boolean last = !GrantVerdict.valueOf(reply.verdict()).retryable();
				this.pending.removeIf((entry) -> last && entry.requestId().equals(reply.requestId()));
			}
			else if (message instanceof LeaseRequest request) {
				sendOut(from, this.guard.onLeaseRequest(request, reachability(), mono()));
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
					sendOut(from, reply);
				}
			}
			else if (message instanceof ReleaseReply reply) {
				this.guard.onReleaseReply(reply);
			}
			else if (message instanceof Handover handover) {
				sendOut(from, this.guard.onHandover(handover));
			}
			else if (message instanceof HandoverReply reply) {
				this.guard.onHandoverReply(reply);
			}
		}

	}

}
