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
import carawayswitch.entry.AdminOperations;
import carawayswitch.entry.EntryContext;
import carawayswitch.entry.EntryServlet;
import carawayswitch.entry.EntrySettings;
import carawayswitch.entry.OperatorServlet;
import carawayswitch.entry.RequestErrorFormatter;
import carawayswitch.guard.GuardTimes;
import carawayswitch.guard.KeyGuard;
import carawayswitch.guard.Reachability;
import carawayswitch.http.Json;
import carawayswitch.http.OutboundHttpClient;
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
 * A running host. Every host runs the same components: the entry for callers, the owner
 * of endpoints, the key guard and the follower of the configuration log. Invariant: state
 * that must outlive the process is never kept only here. {@link #start}, {@link #stop}
 * and {@link #kill} may be called by any thread; all periodic tasks run on the control
 * thread.
 *
 * <pre>
 * CarawayHost host = CarawayHost.start(settings);
 * host.stop().get();
 * </pre>
 */
public final class CarawayHost implements PeerHandler, AdminOperations {

	private static final int ACCEPT_BACKLOG = 1024;

	private static final long AUDIT_INTERVAL_MILLIS = 1000;

	private static final long HANDOVER_DELAY_MILLIS = 3000;

	private static final long REACHABILITY_MAX_AGE_MILLIS = 20;

	private static final int AUDIT_PAGE_RECORDS = 500;

	private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

	private final Settings settings;

	private final EventLoops loops;

	private final ConfigurationHolder configuration = new ConfigurationHolder();

	private final HostMetrics metrics = new HostMetrics();

	private final AuditTrail audit;

	private final Membership membership;

	private final AtomicReference<MembershipView> view;

	private final PeerTransport transport;

	private final EndpointOwners owners;

	private final Forwarder forwarder;

	private final EntryContext entryContext;

	private final GuardService guardService;

	private final LogService log;

	private final HostList hostList;

	private final LogFollower follower;

	private final ConfigurationPublisher publisher;

	private final AssignmentPlanner planner;

	private final List<EntryServlet> servlets = new ArrayList<>();

	private final List<HttpServer> httpWorkers = new ArrayList<>();

	private final CompletableFuture<Void> stopped = new CompletableFuture<>();

	private PrimaryServer httpServer;

	private InetSocketAddress httpAddress;

	private InetSocketAddress internalAddress;

	private volatile boolean stopping;

	private volatile boolean terminated;

	private boolean readyLogged;

	private boolean hostListFailing;

	private boolean auditAppendInFlight;

	private boolean configurationAppendInFlight;

	private long stoppingSince;

	private long lastAssignedAt;

	private long assignmentEpoch;

	private long assignmentOffset;

	private Reachability reachability;

	private long reachabilityUpdatedAt = NEVER_MILLIS;

	private CarawayHost(Settings settings, Member self, EventLoops loops) {
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
		this.guardService = new GuardService(self.host(), self.region(), loops.control(), this.transport,
				this.configuration, this::reachability, this.audit, keyGuard, settings.guard().askTimeout().toMillis());
		this.entryContext = new EntryContext(this.configuration, this.view, this.forwarder, this.guardService,
				this.metrics, entrySettings(settings));
		OutboundHttpClient platformHttpClient = loops.platformHttpClient();
		Duration timeout = settings.platform().callTimeout();
		this.log = new HttpLogService(platformHttpClient, settings.platform().logUrl(), timeout);
		this.hostList = new HttpHostList(platformHttpClient, settings.platform().hostsUrl(), timeout);
		this.follower = new LogFollower(this.configuration, this.log, this::onConfigurationAdvanced);
		this.publisher = new ConfigurationPublisher(loops.control(), this.configuration, this.log,
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
	 * @param settings validated settings
	 * @return the running host
	 * @throws IOException if an address cannot be bound
	 */
	public static CarawayHost start(Settings settings) throws IOException {
		EventLoops loops = EventLoops.start(settings);
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
		SplittableRandom random = new SplittableRandom();
		for (EndpointOwners.Loop loop : this.loops.endpointLoops()) {
			OperatorServlet operators = new OperatorServlet(this.entryContext, loop.reactor(), this);
			EntryServlet servlet = new EntryServlet(this.entryContext, loop.reactor(), random.split(), operators);
			this.servlets.add(servlet);
			this.httpWorkers.add(HttpServer.builder(loop.reactor(), servlet)
				.withReadWriteTimeout(this.settings.http().readTimeout())
				.withHttpErrorFormatter(new RequestErrorFormatter(this.settings.host().id()))
				.build());
		}
		this.httpServer = PrimaryServer.builder(this.loops.control(), this.httpWorkers)
			.withListenAddress(this.settings.http().listen())
			.withServerSocketSettings(ServerSocketSettings.create(ACCEPT_BACKLOG))
			.withAcceptFilter(
					(channel, local, remote, ssl) -> connectionCount() >= this.settings.http().maxConnections())
			.build();
		this.httpServer.listen();
		this.httpAddress = this.httpServer.getBoundAddresses().get(0);
		registerGauges();
		LogEvent.HOST_STARTED.log("host", this.settings.host().id(), "zone", this.settings.host().zone(), "http",
				this.httpAddress, "internal", this.internalAddress);
		scheduleRepeating(this.settings.membership().heartbeatInterval().toMillis(), this::heartbeat);
		scheduleRepeating(this.settings.platform().pollInterval().toMillis(), this::pollPlatform);
		scheduleRepeating(Math.max(10, this.settings.guard().lease().toMillis() / 10), this.guardService::tick);
		scheduleRepeating(AUDIT_INTERVAL_MILLIS, this::writeAudit);
		pollPlatform();
	}

	private int connectionCount() {
		return this.httpWorkers.stream().mapToInt(HttpServer::getConnectionsCount).sum();
	}

	private void registerGauges() {
		this.metrics.gauge(Metric.IN_FLIGHT, this.forwarder::inFlight);
		this.metrics.gauge(Metric.GRANTS, () -> this.guardService.keyGuard().grantCount());
		this.metrics.gauge(Metric.SLOTS_HELD, () -> this.guardService.keyGuard().heldSlotCount());
		this.metrics.gauge(Metric.VIEW_HOSTS, () -> this.view.get().live().size());
		this.metrics.gauge(Metric.CONFIGURATION_OFFSET, () -> this.configuration.state().offset());
		this.metrics.gauge(Metric.PEER_BYTES, () -> this.transport.traffic().sentBytes());
		this.metrics.gauge(Metric.AUDIT_LOST, this.audit::droppedEntries);
		this.metrics.gauge(Metric.QUEUE_WAIT,
				() -> this.owners.digests()
					.stream()
					.flatMap((digest) -> digest.queuedMillis().stream())
					.mapToInt(Integer::intValue)
					.sum());
	}

	private void scheduleRepeating(long intervalMillis, Runnable task) {
		this.loops.control().delayBackground(intervalMillis, () -> {
			if (!this.terminated) {
				task.run();
				scheduleRepeating(intervalMillis, task);
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
			advanceShutdown();
		}
	}

	private void onDigest(EndpointDigest digest, long now) {
		this.entryContext.onDigest(digest, now);
		this.owners.onDigest(digest, now);
	}

	private Heartbeat heartbeatMessage(boolean reply, long now) {
		return new Heartbeat(this.membership.self(), this.owners.digests(), this.membership.membersToGossip(now),
				reply);
	}

	private void refreshView(long now) {
		MembershipView previous = this.view.get();
		MembershipView current = this.membership.view(now);
		this.view.set(current);
		this.reachabilityUpdatedAt = NEVER_MILLIS;
		Set<String> working = hostIds(current.working());
		if (!working.equals(hostIds(previous.working()))) {
			LogEvent.VIEW_CHANGED.log("live", current.live().size(), "working", String.join(",", working));
		}
	}

	private static Set<String> hostIds(List<Member> members) {
		Set<String> ids = new TreeSet<>();
		members.forEach((member) -> ids.add(member.host() + "#" + member.incarnation()));
		return ids;
	}

	private GuardAssignment assignment() {
		return this.configuration.state().currentAssignment(this.settings.host().region()).getOrNull();
	}

	private Reachability reachability() {
		long now = MonotonicClock.millis();
		if (now - this.reachabilityUpdatedAt > REACHABILITY_MAX_AGE_MILLIS) {
			this.reachability = this.membership.reachability(
					this.configuration.state().assignments(this.settings.host().region()), this.assignmentOffset,
					this.settings.membership().deadAfter().toMillis(), now);
			this.reachabilityUpdatedAt = now;
		}
		return this.reachability;
	}

	private void proposeAssignment(long now) {
		boolean caughtUp = this.follower.hasReadLog() && !this.follower.failing() && !this.configurationAppendInFlight;
		if (!caughtUp) {
			return;
		}
		this.planner.propose(this.view.get(), assignment(), (member) -> this.membership.mayStillRun(member, now), now)
			.forEach((proposal) -> {
				this.configurationAppendInFlight = true;
				append(proposal, () -> this.configurationAppendInFlight = false);
			});
	}

	private void append(Message message, Runnable onDone) {
		this.log.append(LogService.CONFIGURATION_STREAM, MessageCodec.encode(message)).subscribe((offset, failure) -> {
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
			logReadyOnce();
		});
		writeSnapshot(now);
	}

	private void writeSnapshot(long now) {
		List<Member> working = this.view.get().working();
		boolean snapshotWriter = !working.isEmpty() && working.get(0).host().equals(this.settings.host().id());
		boolean due = this.follower.snapshotDue(this.settings.platform().snapshotRecords(),
				this.settings.platform().snapshotInterval().toMillis(), now);
		if (snapshotWriter && due && !this.configurationAppendInFlight) {
			this.configurationAppendInFlight = true;
			LogEvent.SNAPSHOT_WRITTEN.log("offset", this.configuration.state().offset());
			append(this.configuration.state().snapshot(), () -> this.configurationAppendInFlight = false);
		}
	}

	private void logReadyOnce() {
		if (!this.readyLogged && ready()) {
			this.readyLogged = true;
			LogEvent.HOST_READY.log("host", this.settings.host().id(), "offset", this.configuration.state().offset());
		}
	}

	private void writeAudit() {
		if (this.auditAppendInFlight) {
			return;
		}
		this.audit.nextBatch().forEach((batch) -> {
			this.auditAppendInFlight = true;
			this.log.append(LogService.AUDIT_STREAM, MessageCodec.encode(batch)).subscribe((offset, failure) -> {
				this.auditAppendInFlight = false;
				if (failure == null) {
					this.audit.confirmBatch();
				}
			});
		});
	}

	private void onConfigurationAdvanced() {
		long offset = this.configuration.state().offset();
		this.membership.onLogApplied(offset);
		GuardAssignment current = assignment();
		if (current != null && current.epoch() > this.assignmentEpoch) {
			this.assignmentEpoch = current.epoch();
			this.assignmentOffset = offset;
			LogEvent.ASSIGNMENT_CHANGED.log("epoch", current.epoch(), "hosts", current.members().size());
		}
		this.reachabilityUpdatedAt = NEVER_MILLIS;
		this.guardService.onConfiguration();
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
			this.entryContext.attachRemote(this.transport, peer, request);
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
		else if (!this.guardService.onMessage(peer, message)) {
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
		this.loops.control().execute(() -> this.publisher.publish(change, onVerdict));
	}

	@Override
	public void readAudit(long fromOffset, Consumer<Option<List<AuditEntry>>> onEntries) {
		this.loops.control().execute(() -> readAudit(fromOffset, new ArrayList<>(), onEntries));
	}

	private void readAudit(long fromOffset, List<AuditEntry> collected, Consumer<Option<List<AuditEntry>>> onEntries) {
		this.log.read(LogService.AUDIT_STREAM, fromOffset, AUDIT_PAGE_RECORDS).subscribe((page, failure) -> {
			if (failure != null) {
				onEntries.accept(Option.none());
				return;
			}
			for (LogRecord logRecord : page.records()) {
				MessageCodec.decode(AuditBatch.class, logRecord.payload())
					.forEach((batch) -> collected.addAll(batch.entries()));
			}
			if (page.records().size() < AUDIT_PAGE_RECORDS) {
				onEntries.accept(Option.of(collected));
			}
			else {
				readAudit(page.records().get(AUDIT_PAGE_RECORDS - 1).offset() + 1, collected, onEntries);
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
		tree.put("log_reachable", this.follower.hasReadLog() && !this.follower.failing());
		GuardAssignment assignment = assignment();
		tree.put("epoch", (assignment != null) ? assignment.epoch() : 0);
		tree.put("slots_held", this.guardService.keyGuard().heldSlotCount());
		tree.put("slots_acquiring", this.guardService.keyGuard().acquiringSlotCount());
		tree.put("keys_minted_from", this.guardService.keyGuard().floorMillis());
		tree.put("grants", this.guardService.keyGuard().grantCount());
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
	 * Returns the HTTP address for callers and operators.
	 * @return the bound address
	 */
	public InetSocketAddress httpAddress() {
		return this.httpAddress;
	}

	/**
	 * Returns the number of bytes sent to other hosts.
	 * @return number of bytes
	 */
	public long sentBytes() {
		return this.transport.traffic().sentBytes();
	}

	/**
	 * Returns the number of frames exchanged with other hosts.
	 * @return number of frames
	 */
	public long frames() {
		return this.transport.traffic().frames();
	}

	/**
	 * Returns the internal address for other hosts.
	 * @return the bound address
	 */
	public InetSocketAddress internalAddress() {
		return this.internalAddress;
	}

	/**
	 * Shuts the host down gracefully, without interrupting a request: takes no new work
	 * as an owner, hands its key slots over, finishes in-flight requests, then
	 * terminates.
	 * @return completes when the host has terminated
	 */
	public CompletableFuture<Void> stop() {
		this.loops.control().execute(() -> {
			if (!this.stopping) {
				this.stopping = true;
				this.stoppingSince = MonotonicClock.millis();
				this.membership.startLeaving();
				LogEvent.HOST_STOPPING.log("host", this.settings.host().id());
				this.audit.addSystemEntry(System.currentTimeMillis(), "host.stopping", this.settings.host().id(), "");
				heartbeat();
				broadcastHeartbeat();
			}
		});
		return this.stopped;
	}

	private void broadcastHeartbeat() {
		long now = MonotonicClock.millis();
		this.view.get().live().keySet().forEach((peer) -> {
			if (!peer.equals(this.settings.host().id())) {
				this.transport.send(peer, heartbeatMessage(false, now));
			}
		});
	}

	private void advanceShutdown() {
		long elapsedMillis = MonotonicClock.millis() - this.stoppingSince;
		if (elapsedMillis >= HANDOVER_DELAY_MILLIS && this.guardService.keyGuard().heldSlotCount() > 0) {
			this.guardService.handOver();
		}
		boolean unreadyTimeElapsed = elapsedMillis >= this.settings.http().unreadyTime().toMillis();
		boolean drainTimedOut = elapsedMillis >= this.settings.http().drainTimeout().toMillis() + HANDOVER_DELAY_MILLIS;
		boolean onlyLiveHost = this.view.get().live().size() == 1;
		boolean slotsHandedOver = this.guardService.keyGuard().heldSlotCount() == 0
				&& unassignedMillis() >= this.settings.guard().lease().toMillis()
				|| elapsedMillis >= 2 * HANDOVER_DELAY_MILLIS && this.guardService.keyGuard().heldSlotCount() == 0
				|| onlyLiveHost;
		if (drainTimedOut || unreadyTimeElapsed && slotsHandedOver && idle()) {
			terminate();
		}
	}

	/**
	 * Returns for how long the current assignment has not named this host. During this
	 * time, the new slot owners can request the state that this host holds.
	 * @return time in milliseconds
	 */
	private long unassignedMillis() {
		GuardAssignment current = assignment();
		boolean assigned = current == null || current.members()
			.stream()
			.anyMatch((member) -> member.host().equals(this.settings.host().id())
					&& member.incarnation() == this.view.get().self().incarnation());
		this.lastAssignedAt = assigned ? MonotonicClock.millis() : this.lastAssignedAt;
		return MonotonicClock.millis() - this.lastAssignedAt;
	}

	private boolean idle() {
		int entryInFlight = this.servlets.stream().mapToInt(EntryServlet::inFlight).sum();
		return entryInFlight == 0 && this.forwarder.inFlight() == 0 && this.owners.inFlight() == 0;
	}

	private void terminate() {
		if (this.terminated) {
			return;
		}
		this.terminated = true;
		writeAudit();
		this.httpServer.close();
		this.loops.control().delay(AUDIT_INTERVAL_MILLIS / 4, () -> {
			LogEvent.HOST_STOPPED.log("host", this.settings.host().id());
			this.transport.stop();
			this.loops.stop();
			this.stopped.complete(null);
		});
	}

	/**
	 * Blocks all event loops of the host, as a pause of the process would.
	 * @param duration duration of the pause
	 * @return completes when all event loops have resumed
	 */
	CompletableFuture<Void> freeze(Duration duration) {
		return this.loops.freeze(duration);
	}

	/**
	 * Terminates the host immediately, as a crash would: no slots are handed over and no
	 * request is finished.
	 */
	public void kill() {
		this.terminated = true;
		this.loops.kill();
	}

}
