package carawayswitch.host;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.HttpServer;
import io.activej.net.PrimaryServer;
import io.activej.reactor.net.ServerSocketSettings;
import io.vavr.control.Option;

import carawayswitch.audit.AuditTrail;
import carawayswitch.config.ChangeVerdict;
import carawayswitch.config.ConfigurationHolder;
import carawayswitch.dispatch.EndpointOwners;
import carawayswitch.dispatch.Forwarder;
import carawayswitch.dispatch.RemoteSink;
import carawayswitch.entry.EntryContext;
import carawayswitch.entry.EntryServlet;
import carawayswitch.entry.EntrySettings;
import carawayswitch.entry.OperatorBackend;
import carawayswitch.entry.OperatorServlet;
import carawayswitch.entry.RequestErrorFormatter;
import carawayswitch.guard.GuardTimes;
import carawayswitch.guard.KeyGuard;
import carawayswitch.guard.Reachability;
import carawayswitch.http.HttpCaller;
import carawayswitch.http.Json;
import carawayswitch.log.LogEvent;
import carawayswitch.membership.AssignmentPlanner;
import carawayswitch.membership.Membership;
import carawayswitch.membership.MembershipView;
import carawayswitch.message.AttachRequest;
import carawayswitch.message.AuditBatch;
import carawayswitch.message.AuditEntry;
import carawayswitch.message.CancelReply;
import carawayswitch.message.CancelRequest;
import carawayswitch.message.ConfigurationChange;
import carawayswitch.message.EndpointDigest;
import carawayswitch.message.ForwardRequest;
import carawayswitch.message.GuardAssignment;
import carawayswitch.message.Heartbeat;
import carawayswitch.message.LogRecord;
import carawayswitch.message.Member;
import carawayswitch.message.Message;
import carawayswitch.message.MessageCodec;
import carawayswitch.message.RecordsReply;
import carawayswitch.message.RecordsRequest;
import carawayswitch.metrics.HostMetrics;
import carawayswitch.metrics.Metric;
import carawayswitch.platform.HostList;
import carawayswitch.platform.HttpHostList;
import carawayswitch.platform.HttpLogService;
import carawayswitch.platform.LogService;
import carawayswitch.schedule.EndpointScheduler;
import carawayswitch.settings.Settings;
import carawayswitch.time.MonotonicClock;
import carawayswitch.transport.PeerHandler;
import carawayswitch.transport.PeerIdentity;
import carawayswitch.transport.PeerTransport;

/**
 * One host. Every host runs the same parts: entry for callers, owner of endpoints, guard
 * of keys, follower of the log. Invariant: nothing that must outlive the process is kept
 * only here. {@link #start}, {@link #stop} and {@link #kill} may be called by any thread;
 * the control thread runs everything periodic.
 *
 * <pre>
 * CarawayHost host = CarawayHost.start(settings);
 * host.stop().get();
 * </pre>
 */
public final class CarawayHost implements PeerHandler, OperatorBackend {

	private static final int BACKLOG = 1024;

	private static final long AUDIT_MILLIS = 1000;

	private static final long HANDOVER_AFTER_MILLIS = 3000;

	private static final long STOP_CHECK_MILLIS = 20;

	private static final int AUDIT_PAGE = 500;

	private static final long NEVER = Long.MIN_VALUE / 2;

	private final Settings settings;

	private final Loops loops;

	private final ConfigurationHolder configuration = new ConfigurationHolder();

	private final HostMetrics metrics = new HostMetrics();

	private final AuditTrail audit;

	private final Membership membership;

	private final AtomicReference<MembershipView> view;

	private final PeerTransport transport;

	private final EndpointOwners owners;

	private final Forwarder forwarder;

	private final EntryContext entry;

	private final GuardService guard;

	private final LogService log;

	private final HostList hostList;

	private final LogFollower follower;

	private final ConfigurationEditor editor;

	private final AssignmentPlanner planner;

	private final List<EntryServlet> servlets = new ArrayList<>();

	private final List<HttpServer> httpWorkers = new ArrayList<>();

	private final CompletableFuture<Void> stopped = new CompletableFuture<>();

	private PrimaryServer httpServer;

	private InetSocketAddress httpAddress;

	private InetSocketAddress internalAddress;

	private volatile boolean stopping;

	private volatile boolean killed;

	private boolean announcedReady;

	private boolean hostListFailing;

	private boolean auditing;

	private boolean appending;

	private long stoppingSince;

	private long replacedSince;

	private long knownEpoch;

	private long assignmentOffset;

	private Reachability reachability;

	private long reachabilityAt = NEVER;

	private CarawayHost(Settings settings, Member self, Loops loops) {
		this.settings = settings;
		this.loops = loops;
		this.audit = new AuditTrail(self.host());
		this.membership = new Membership(self, settings.membership().fanout(),
				settings.membership().deadAfter().toMillis());
		this.view = new AtomicReference<>(MembershipView.ofSingleHost(self));
		PeerIdentity identity = new PeerIdentity(self.host(), self.incarnation(), settings.internal().secret());
		PeerTransport.Timing times = new PeerTransport.Timing(settings.internal().pingInterval().toMillis(),
				settings.internal().pingTimeout().toMillis());
		this.transport = new PeerTransport(loops.control(), identity, times, this.membership::address, this);
		this.owners = new EndpointOwners(loops.endpointLoops(), self.incarnation(), this.configuration,
				new EndpointScheduler.QueueLimits(settings.queue().maxBytes(), settings.queue().maxWait().toMillis()));
		this.forwarder = new Forwarder(self.host(), this.owners, this.transport, loops.control());
		KeyGuard keyGuard = new KeyGuard(self.host(), self.incarnation(), guardTimes(settings));
		this.guard = new GuardService(self.host(), self.region(), loops.control(), this.transport, this.configuration,
				this::reachability, this.audit, keyGuard, settings.guard().askTimeout().toMillis());
		this.entry = new EntryContext(this.configuration, this.view, this.forwarder, this.guard, this.metrics,
				entrySettings(settings));
		HttpCaller platformCaller = loops.platformCaller();
		Duration timeout = settings.platform().callTimeout();
		this.log = new HttpLogService(platformCaller, settings.platform().logUrl(), timeout);
		this.hostList = new HttpHostList(platformCaller, settings.platform().hostsUrl(), timeout);
		this.follower = new LogFollower(this.configuration, this.log, this::onConfiguration);
		this.editor = new ConfigurationEditor(loops.control(), this.configuration, this.log,
				() -> this.follower.poll(MonotonicClock.millis()), timeout.toMillis() * 2);
		this.planner = new AssignmentPlanner(settings.membership().heartbeatInterval().toMillis(),
				guardTimes(settings).minAssignmentIntervalMillis());
	}

	private static GuardTimes guardTimes(Settings settings) {
		return new GuardTimes(settings.guard().lease().toMillis(), settings.guard().margin().toMillis(),
				settings.membership().deadAfter().toMillis(), settings.guard().clockSkew().toMillis(),
				settings.guard().dedupeWindow().toMillis());
	}

	private static EntrySettings entrySettings(Settings settings) {
		return new EntrySettings(settings.http().maxBody(), settings.http().defaultDeadline(),
				settings.retry().maxAttempts(), settings.retry().budgetRatio(), settings.retry().backoff(),
				settings.guard().answerBytes(), settings.guard().dedupeWindow(), settings.operators().tokenHash());
	}

	/**
	 * Starts a host.
	 * @param settings checked settings
	 * @return the running host
	 * @throws IOException if an address cannot be bound
	 */
	public static CarawayHost start(Settings settings) throws IOException {
		Loops loops = Loops.start(settings);
		String address = settings.internal().listen().getHostString() + ":" + settings.internal().listen().getPort();
		Member self = new Member(settings.host().id(), System.currentTimeMillis(), 0, settings.host().zone(),
				settings.host().region(), address, false, -1);
		CarawayHost host = new CarawayHost(settings, self, loops);
		try {
			loops.control().submit(host::listen).join();
		}
		catch (java.util.concurrent.CompletionException ex) {
			loops.stop();
			throw new IOException(ex.getCause());
		}
		return host;
	}

	private void listen() throws IOException {
		this.internalAddress = this.transport.listen(this.settings.internal().listen());
		this.membership.onAddressBound(this.internalAddress.getHostString() + ":" + this.internalAddress.getPort());
		refreshView(MonotonicClock.millis());
		SplittableRandom seeds = new SplittableRandom();
		for (EndpointOwners.Loop loop : this.loops.endpointLoops()) {
			OperatorServlet operators = new OperatorServlet(this.entry, loop.reactor(), this);
			EntryServlet servlet = new EntryServlet(this.entry, loop.reactor(), seeds.split(), operators);
			this.servlets.add(servlet);
			this.httpWorkers.add(HttpServer.builder(loop.reactor(), servlet)
				.withReadWriteTimeout(this.settings.http().readTimeout())
				.withHttpErrorFormatter(new RequestErrorFormatter(this.settings.host().id()))
				.build());
		}
		this.httpServer = PrimaryServer.builder(this.loops.control(), this.httpWorkers)
			.withListenAddress(this.settings.http().listen())
			.withServerSocketSettings(ServerSocketSettings.create(BACKLOG))
			.withAcceptFilter((channel, local, remote, ssl) -> connections() >= this.settings.http().maxConnections())
			.build();
		this.httpServer.listen();
		this.httpAddress = this.httpServer.getBoundAddresses().get(0);
		registerGauges();
		LogEvent.HOST_STARTED.log("host", this.settings.host().id(), "zone", this.settings.host().zone(), "http",
				this.httpAddress, "internal", this.internalAddress);
		every(this.settings.membership().heartbeatInterval().toMillis(), this::heartbeat);
		every(this.settings.platform().pollInterval().toMillis(), this::pollPlatform);
		every(Math.max(10, this.settings.guard().lease().toMillis() / 10), this.guard::tick);
		every(AUDIT_MILLIS, this::writeAudit);
		pollPlatform();
	}

	private int connections() {
		return this.httpWorkers.stream().mapToInt(HttpServer::getConnectionsCount).sum();
	}

	private void registerGauges() {
		this.metrics.gauge(Metric.IN_FLIGHT, this.forwarder::inFlight);
		this.metrics.gauge(Metric.GRANTS, () -> this.guard.guard().grantCount());
		this.metrics.gauge(Metric.SLOTS_HELD, () -> this.guard.guard().heldSlotCount());
		this.metrics.gauge(Metric.VIEW_HOSTS, () -> this.view.get().live().size());
		this.metrics.gauge(Metric.CONFIGURATION_OFFSET, () -> this.configuration.state().offset());
		this.metrics.gauge(Metric.PEER_BYTES, () -> this.transport.traffic().sentBytes());
		this.metrics.gauge(Metric.AUDIT_LOST, this.audit::lost);
		this.metrics.gauge(Metric.QUEUE_WAIT,
				() -> this.owners.digests()
					.stream()
					.flatMap((digest) -> digest.queuedMillis().stream())
					.mapToInt(Integer::intValue)
					.sum());
	}

	private void every(long millis, Runnable task) {
		this.loops.control().delayBackground(millis, () -> {
			if (!this.killed) {
				task.run();
				every(millis, task);
			}
		});
	}

	private void heartbeat() {
		long now = MonotonicClock.millis();
		refreshView(now);
		this.owners.digests().forEach((digest) -> onDigest(digest, now));
		for (String peer : this.membership.nextRound(now)) {
			this.transport.send(peer, heartbeatMessage(false, now));
		}
		proposeAssignment(now);
		if (this.stopping) {
			advanceStop();
		}
	}

	private void onDigest(EndpointDigest digest, long now) {
		this.entry.onDigest(digest, now);
		this.owners.onDigest(digest, now);
	}

	private Heartbeat heartbeatMessage(boolean reply, long now) {
		return new Heartbeat(this.membership.self(), this.owners.digests(), this.membership.membersToGossip(now),
				reply);
	}

	private void refreshView(long now) {
		MembershipView before = this.view.get();
		MembershipView after = this.membership.view(now);
		this.view.set(after);
		this.reachabilityAt = NEVER;
		Set<String> working = hostIds(after.working());
		if (!working.equals(hostIds(before.working()))) {
			LogEvent.VIEW_CHANGED.log("live", after.live().size(), "working", String.join(",", working));
		}
	}

	private static Set<String> hostIds(List<Member> members) {
		Set<String> ids = new TreeSet<>();
		members.forEach((member) -> ids.add(member.host() + "#" + member.incarnation()));
		return ids;
	}

	private GuardAssignment assignment() {
		return this.configuration.state().assignment(this.settings.host().region()).getOrNull();
	}

	private Reachability reachability() {
		long now = MonotonicClock.millis();
		if (now - this.reachabilityAt > STOP_CHECK_MILLIS) {
			this.reachability = this.membership.reachability(
					this.configuration.state().assignments(this.settings.host().region()), this.assignmentOffset,
					this.settings.membership().deadAfter().toMillis(), now);
			this.reachabilityAt = now;
		}
		return this.reachability;
	}

	private void proposeAssignment(long now) {
		boolean caughtUp = this.follower.reached() && !this.follower.failing() && !this.appending;
		if (!caughtUp) {
			return;
		}
		this.planner.propose(this.view.get(), assignment(), (member) -> this.membership.mayStillRun(member, now), now)
			.forEach((proposal) -> {
				this.appending = true;
				append(proposal, () -> this.appending = false);
			});
	}

	private void append(Message message, Runnable onDone) {
		this.log.append(LogService.CONFIGURATION, MessageCodec.encode(message)).subscribe((offset, failure) -> {
			onDone.run();
			this.follower.poll(MonotonicClock.millis());
		});
	}

	private void pollPlatform() {
		long now = MonotonicClock.millis();
		this.follower.poll(now);
		this.hostList.read().subscribe((members, failure) -> {
			if (failure == null) {
				this.membership.onHostList(members, MonotonicClock.millis());
			}
			else if (!this.hostListFailing) {
				LogEvent.PLATFORM_HOSTS_FAILED.log("reason", failure);
			}
			this.hostListFailing = failure != null;
			announceReady();
		});
		writeSnapshot(now);
	}

	private void writeSnapshot(long now) {
		List<Member> working = this.view.get().working();
		boolean writer = !working.isEmpty() && working.get(0).host().equals(this.settings.host().id());
		boolean due = this.follower.snapshotDue(this.settings.platform().snapshotRecords(),
				this.settings.platform().snapshotInterval().toMillis(), now);
		if (writer && due && !this.appending) {
			this.appending = true;
			LogEvent.SNAPSHOT_WRITTEN.log("offset", this.configuration.state().offset());
			append(this.configuration.state().snapshot(), () -> this.appending = false);
		}
	}

	private void announceReady() {
		if (!this.announcedReady && ready()) {
			this.announcedReady = true;
			LogEvent.HOST_READY.log("host", this.settings.host().id(), "offset", this.configuration.state().offset());
		}
	}

	private void writeAudit() {
		if (this.auditing) {
			return;
		}
		this.audit.nextBatch().forEach((batch) -> {
			this.auditing = true;
			this.log.append(LogService.AUDIT, MessageCodec.encode(batch)).subscribe((offset, failure) -> {
				this.auditing = false;
				if (failure == null) {
					this.audit.confirmed();
				}
			});
		});
	}

	private void onConfiguration() {
		long offset = this.configuration.state().offset();
		this.membership.onLogApplied(offset);
		GuardAssignment newest = assignment();
		if (newest != null && newest.epoch() > this.knownEpoch) {
			this.knownEpoch = newest.epoch();
			this.assignmentOffset = offset;
			LogEvent.ASSIGNMENT_CHANGED.log("epoch", newest.epoch(), "hosts", newest.members().size());
		}
		this.reachabilityAt = NEVER;
		this.guard.onConfiguration();
		this.owners.onConfiguration();
	}

	@Override
	public void onMessage(String peer, long incarnation, Message message) {
		if (message instanceof ForwardRequest request) {
			this.owners.submit(request, new RemoteSink(this.transport, peer));
		}
		else if (message instanceof CancelRequest request) {
			this.owners.cancel(request, MonotonicClock.millis(), (neverDispatched) -> this.transport.send(peer,
					new CancelReply(request.requestId(), request.attempt(), neverDispatched)));
		}
		else if (message instanceof AttachRequest request) {
			this.entry.attachRemote(this.transport, peer, request);
		}
		else if (message instanceof Heartbeat heartbeat) {
			onHeartbeat(peer, heartbeat);
		}
		else if (message instanceof RecordsRequest request) {
			this.transport.send(peer, this.follower.onRecordsRequest(request));
		}
		else if (message instanceof RecordsReply reply) {
			this.follower.onRecordsReply(reply, MonotonicClock.millis());
		}
		else if (!this.guard.onMessage(peer, message)) {
			this.forwarder.onMessage(peer, message);
		}
	}

	private void onHeartbeat(String peer, Heartbeat heartbeat) {
		long now = MonotonicClock.millis();
		boolean leavingBefore = isLeaving(peer);
		this.membership.onHeartbeat(heartbeat, now);
		heartbeat.digests().forEach((digest) -> onDigest(digest, now));
		if (heartbeat.self().leaving() != leavingBefore || !this.view.get().live().containsKey(peer)) {
			refreshView(now);
		}
		if (!heartbeat.reply()) {
			this.transport.send(peer, heartbeatMessage(true, now));
		}
		this.follower.requestFromPeer(heartbeat.self().offset(), now)
			.forEach((request) -> this.transport.send(peer, request));
	}

	private boolean isLeaving(String peer) {
		Member member = this.view.get().live().get(peer);
		return member != null && member.leaving();
	}

	@Override
	public Set<String> awaitedPeers() {
		return this.forwarder.awaitedPeers();
	}

	@Override
	public void onPeerLost(String peer) {
		this.forwarder.onPeerLost(peer);
		this.membership.onUnreachable(peer, MonotonicClock.millis());
		refreshView(MonotonicClock.millis());
	}

	@Override
	public void publish(ConfigurationChange change, Consumer<Option<ChangeVerdict>> onVerdict) {
		this.loops.control().execute(() -> this.editor.publish(change, onVerdict));
	}

	@Override
	public void audit(long fromOffset, Consumer<Option<List<AuditEntry>>> onEntries) {
		this.loops.control().execute(() -> readAudit(fromOffset, new ArrayList<>(), onEntries));
	}

	private void readAudit(long from, List<AuditEntry> collected, Consumer<Option<List<AuditEntry>>> onEntries) {
		this.log.read(LogService.AUDIT, from, AUDIT_PAGE).subscribe((page, failure) -> {
			if (failure != null) {
				onEntries.accept(Option.none());
				return;
			}
			for (LogRecord logRecord : page.records()) {
				MessageCodec.decode(AuditBatch.class, logRecord.payload())
					.forEach((batch) -> collected.addAll(batch.entries()));
			}
			if (page.records().size() < AUDIT_PAGE) {
				onEntries.accept(Option.of(collected));
			}
			else {
				readAudit(page.records().get(AUDIT_PAGE - 1).offset() + 1, collected, onEntries);
			}
		});
	}

	@Override
	public void status(Consumer<JsonNode> onStatus) {
		this.loops.control().execute(() -> onStatus.accept(statusTree()));
	}

	private ObjectNode statusTree() {
		MembershipView current = this.view.get();
		ObjectNode tree = Json.object();
		tree.put("host", current.self().host());
		tree.put("incarnation", current.self().incarnation());
		tree.put("zone", current.self().zone());
		tree.put("region", current.self().region());
		tree.put("ready", ready());
		tree.put("stopping", this.stopping);
		tree.put("offset", this.configuration.state().offset());
		tree.put("log_reachable", this.follower.reached() && !this.follower.failing());
		GuardAssignment inForce = assignment();
		tree.put("epoch", (inForce != null) ? inForce.epoch() : 0);
		tree.put("slots_held", this.guard.guard().heldSlotCount());
		tree.put("slots_acquiring", this.guard.guard().acquiringSlotCount());
		tree.put("keys_minted_from", this.guard.guard().floorMillis());
		tree.put("grants", this.guard.guard().grantCount());
		tree.put("in_flight", this.forwarder.inFlight());
		tree.put("sent_bytes", this.transport.traffic().sentBytes());
		tree.put("received_bytes", this.transport.traffic().receivedBytes());
		tree.put("frames", this.transport.traffic().frames());
		current.sortedLive()
			.values()
			.forEach((member) -> tree.withArray("hosts")
				.addObject()
				.put("host", member.host())
				.put("zone", member.zone())
				.put("leaving", member.leaving()));
		this.owners.digests()
			.forEach((digest) -> tree.withArray("endpoints")
				.addObject()
				.put("endpoint", digest.endpoint())
				.put("running", digest.running())
				.put("limit", digest.limit())
				.put("leaving", digest.leaving()));
		return tree;
	}

	@Override
	public boolean ready() {
		return !this.stopping && this.configuration.state().offset() >= 0;
	}

	@Override
	public void addAudit(AuditEntry auditEntry) {
		this.audit.add(auditEntry);
	}

	/**
	 * Returns the address for callers and operators.
	 * @return the bound address
	 */
	public InetSocketAddress httpAddress() {
		return this.httpAddress;
	}

	/**
	 * Returns the bytes sent to other hosts.
	 * @return number of bytes
	 */
	public long sentBytes() {
		return this.transport.traffic().sentBytes();
	}

	/**
	 * Returns the frames exchanged with other hosts.
	 * @return number of frames
	 */
	public long frames() {
		return this.transport.traffic().frames();
	}

	/**
	 * Returns the address for other hosts.
	 * @return the bound address
	 */
	public InetSocketAddress internalAddress() {
		return this.internalAddress;
	}

	/**
	 * Stops the host without cutting off a request: takes no new work as an owner, hands
	 * its key slots over, finishes what is under way, then ends.
	 * @return completes when the host has ended
	 */
	public CompletableFuture<Void> stop() {
		this.loops.control().execute(() -> {
			if (!this.stopping) {
				this.stopping = true;
				this.stoppingSince = MonotonicClock.millis();
				this.membership.startLeaving();
				LogEvent.HOST_STOPPING.log("host", this.settings.host().id());
				this.audit.system(System.currentTimeMillis(), "host.stopping", this.settings.host().id(), "");
				heartbeat();
				tellEveryone();
			}
		});
		return this.stopped;
	}

	private void tellEveryone() {
		long now = MonotonicClock.millis();
		this.view.get().live().keySet().forEach((peer) -> {
			if (!peer.equals(this.settings.host().id())) {
				this.transport.send(peer, heartbeatMessage(false, now));
			}
		});
	}

	private void advanceStop() {
		long waited = MonotonicClock.millis() - this.stoppingSince;
		if (waited >= HANDOVER_AFTER_MILLIS && this.guard.guard().heldSlotCount() > 0) {
			this.guard.handOver();
		}
		boolean unreadyLongEnough = waited >= this.settings.http().unreadyTime().toMillis();
		boolean overdue = waited >= this.settings.http().drainTimeout().toMillis() + HANDOVER_AFTER_MILLIS;
		boolean alone = this.view.get().live().size() == 1;
		boolean released = this.guard.guard().heldSlotCount() == 0
				&& replacedFor() >= this.settings.guard().lease().toMillis()
				|| waited >= 2 * HANDOVER_AFTER_MILLIS && this.guard.guard().heldSlotCount() == 0 || alone;
		if (overdue || unreadyLongEnough && released && idle()) {
			end();
		}
	}

	/**
	 * Returns for how long the assignment in force has not named this host, so that new
	 * owners could ask for what it knows.
	 * @return time in milliseconds
	 */
	private long replacedFor() {
		GuardAssignment inForce = assignment();
		boolean named = inForce == null || inForce.members()
			.stream()
			.anyMatch((member) -> member.host().equals(this.settings.host().id())
					&& member.incarnation() == this.view.get().self().incarnation());
		this.replacedSince = named ? MonotonicClock.millis() : this.replacedSince;
		return MonotonicClock.millis() - this.replacedSince;
	}

	private boolean idle() {
		int atEntry = this.servlets.stream().mapToInt(EntryServlet::inFlight).sum();
		return atEntry == 0 && this.forwarder.inFlight() == 0 && this.owners.inFlight() == 0;
	}

	private void end() {
		if (this.killed) {
			return;
		}
		this.killed = true;
		writeAudit();
		this.httpServer.close();
		this.loops.control().delay(AUDIT_MILLIS / 4, () -> {
			LogEvent.HOST_STOPPED.log("host", this.settings.host().id());
			this.transport.stop();
			this.loops.stop();
			this.stopped.complete(null);
		});
	}

	/**
	 * Stops all threads of the host for a while, as a paused process would.
	 * @param time how long
	 * @return completes when the threads go on
	 */
	CompletableFuture<Void> freeze(Duration time) {
		return this.loops.freeze(time);
	}

	/**
	 * Ends the host at once, as a crash would: nothing is handed over or finished.
	 */
	public void kill() {
		this.killed = true;
		this.loops.kill();
	}

}
