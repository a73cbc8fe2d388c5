package carawayswitch.host;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.activej.reactor.nio.NioReactor;

import carawayswitch.audit.AuditTrail;
import carawayswitch.config.ConfigurationHolder;
import carawayswitch.entry.AttachmentReceiver;
import carawayswitch.entry.GrantClient;
import carawayswitch.guard.GrantVerdict;
import carawayswitch.guard.KeyGuard;
import carawayswitch.guard.Reachability;
import carawayswitch.guard.SlotMap;
import carawayswitch.log.LogEvent;
import carawayswitch.message.AttachRequest;
import carawayswitch.message.GrantReply;
import carawayswitch.message.GrantRequest;
import carawayswitch.message.GrantSettled;
import carawayswitch.message.GuardAssignment;
import carawayswitch.message.GuardMember;
import carawayswitch.message.Handover;
import carawayswitch.message.HandoverReply;
import carawayswitch.message.LeaseReply;
import carawayswitch.message.LeaseRequest;
import carawayswitch.message.Message;
import carawayswitch.message.ReleaseReply;
import carawayswitch.message.ReleaseRequest;
import carawayswitch.message.ReplyChunk;
import carawayswitch.message.ReplyEnd;
import carawayswitch.message.ReplyHead;
import carawayswitch.outcome.ErrorKind;
import carawayswitch.outcome.Outcome;
import carawayswitch.time.MonotonicClock;
import carawayswitch.transport.PeerTransport;

/**
 * Exchanges messages between the {@link KeyGuard} of this host and other hosts. The guard
 * is confined to the control thread; the methods of {@link GrantClient} may be called by
 * any thread.
 */
final class GuardService implements GrantClient {

	private static final long ROUND_PAUSE_MILLIS = 50;

	private final String host;

	private final String region;

	private final NioReactor reactor;

	private final PeerTransport transport;

	private final ConfigurationHolder configuration;

	private final Supplier<Reachability> reachability;

	private final AuditTrail audit;

	private final KeyGuard keyGuard;

	private final long requestTimeoutMillis;

	private final Map<String, PendingGrant> pendingGrants = new HashMap<>();

	private final ConcurrentMap<String, AttachmentReceiver> attachments = new ConcurrentHashMap<>();

	private final ConcurrentMap<String, String> granterHosts = new ConcurrentHashMap<>();

	private CachedSlotMap remoteSlotMap = new CachedSlotMap("", 0, null);

	private int lastHeldSlots;

	GuardService(String host, String region, NioReactor reactor, PeerTransport transport,
			ConfigurationHolder configuration, Supplier<Reachability> reachability, AuditTrail audit, KeyGuard keyGuard,
			long requestTimeoutMillis) {
		this.host = host;
		this.region = region;
		this.reactor = reactor;
		this.transport = transport;
		this.configuration = configuration;
		this.reachability = reachability;
		this.audit = audit;
		this.keyGuard = keyGuard;
		this.requestTimeoutMillis = requestTimeoutMillis;
	}

	void onConfiguration() {
		List<GuardAssignment> history = this.configuration.state().assignments(this.region);
		if (!history.isEmpty()) {
			this.keyGuard.onAssignments(history);
		}
		tick();
	}

	void tick() {
		this.keyGuard.tick(this.reachability.get(), now(), System.currentTimeMillis());
		this.keyGuard.releaseRequests().forEach((peer, request) -> send(peer, request));
		this.keyGuard.leaseRequests(now()).forEach((peer, request) -> send(peer, request));
		int heldSlots = this.keyGuard.heldSlotCount();
		if (heldSlots != this.lastHeldSlots) {
			LogEvent.SLOTS_CHANGED.log("held", heldSlots, "before", this.lastHeldSlots);
			this.audit.addSystemEntry(System.currentTimeMillis(), "slots.changed", this.host, heldSlots + " slots");
			this.lastHeldSlots = heldSlots;
		}
	}

	void handOver() {
		this.keyGuard.handovers(this.reachability.get()).forEach((peer, message) -> send(peer, message));
	}

	private void send(String peer, Message message) {
		if (peer.equals(this.host)) {
			onMessage(peer, message);
		}
		else {
			this.transport.send(peer, message);
		}
	}

	/**
	 * Handles a message on the control thread.
	 * @param peer id of the sending host
	 * @param message the message
	 * @return true if the message belongs to the guard and was handled
	 */
	boolean onMessage(String peer, Message message) {
		if (message instanceof GrantRequest request) {
			send(peer, this.keyGuard.onGrantRequest(request, now(), System.currentTimeMillis()));
		}
		else if (message instanceof GrantReply reply) {
			onGrantReply(peer, reply);
		}
		else if (message instanceof GrantSettled settled) {
			this.keyGuard.onGrantSettled(settled);
		}
		else if (message instanceof LeaseRequest request) {
			send(peer, this.keyGuard.onLeaseRequest(request, this.reachability.get(), now()));
		}
		else if (message instanceof LeaseReply reply) {
			this.keyGuard.onLeaseReply(reply);
		}
		else {
			return onSlotTransferMessage(peer, message) || onAttachedReply(message);
		}
		return true;
	}

	private boolean onSlotTransferMessage(String peer, Message message) {
		if (message instanceof ReleaseRequest request) {
			ReleaseReply reply = this.keyGuard.onReleaseRequest(request);
			if (reply != null) {
				send(peer, reply);
			}
		}
		else if (message instanceof ReleaseReply reply) {
			this.keyGuard.onReleaseReply(reply);
			tick();
		}
		else if (message instanceof Handover handover) {
			send(peer, this.keyGuard.onHandover(handover));
			tick();
		}
		else if (message instanceof HandoverReply reply) {
			this.keyGuard.onHandoverReply(reply);
		}
		else {
			return false;
		}
		return true;
	}

	private boolean onAttachedReply(Message message) {
		if (message instanceof ReplyHead head && head.attempt() == 0) {
			withAttachment(head.requestId(), (attachment) -> attachment.head(head));
		}
		else if (message instanceof ReplyChunk chunk && chunk.attempt() == 0) {
			withAttachment(chunk.requestId(), (attachment) -> attachment.chunk(chunk));
		}
		else if (message instanceof ReplyEnd end && end.attempt() == 0) {
			withAttachment(end.requestId(), (attachment) -> attachment.end(end));
			this.attachments.remove(end.requestId());
		}
		else {
			return false;
		}
		return true;
	}

	private void withAttachment(String requestId, Consumer<AttachmentReceiver> action) {
		AttachmentReceiver attachment = this.attachments.get(requestId);
		if (attachment != null) {
			action.accept(attachment);
		}
	}

	@Override
	public void requestGrant(String homeRegion, GrantRequest request, long deadlineMillis, Consumer<GrantReply> reply) {
		this.reactor.execute(() -> {
			PendingGrant pending = new PendingGrant(homeRegion, request, deadlineMillis, reply);
			this.pendingGrants.put(request.requestId(), pending);
			pending.tryNextCandidate();
		});
	}

	private void onGrantReply(String peer, GrantReply reply) {
		PendingGrant pending = this.pendingGrants.get(reply.requestId());
		if (pending != null && pending.currentCandidate.equals(peer)) {
			pending.onReply(peer, reply);
		}
	}

	@Override
	public void settle(String homeRegion, GrantSettled settled) {
		String granter = this.granterHosts.remove(settled.requestId());
		if (granter != null) {
			this.reactor.execute(() -> send(granter, settled));
		}
	}

	@Override
	public void attach(String holder, long incarnation, String holderRequestId, AttachmentReceiver attachment) {
		this.attachments.put(attachment.requestId(), attachment);
		this.reactor.execute(() -> this.transport.send(holder,
				new AttachRequest(holderRequestId, attachment.requestId(), incarnation),
				() -> endWithUnknownOutcome(attachment.requestId())));
		this.reactor.execute(() -> monitorHolder(holder, attachment.requestId()));
	}

	private void monitorHolder(String holder, String requestId) {
		this.reactor.delayBackground(this.requestTimeoutMillis, () -> {
			if (!this.attachments.containsKey(requestId)) {
				return;
			}
			if (this.reachability.get().reachableIncarnations().containsKey(holder)) {
				monitorHolder(holder, requestId);
			}
			else {
				endWithUnknownOutcome(requestId);
			}
		});
	}

	private void endWithUnknownOutcome(String requestId) {
		AttachmentReceiver attachment = this.attachments.remove(requestId);
		if (attachment != null) {
			attachment.end(new ReplyEnd(requestId, 0, Outcome.UNKNOWN.label(), ErrorKind.KEY_OUTCOME_UNKNOWN.label(), 0,
					0, 0, null));
		}
	}

	private List<String> candidateHosts(String homeRegion, String key) {
		if (homeRegion.equals(this.region)) {
			return this.keyGuard.candidates(key);
		}
		GuardAssignment currentAssignment = this.configuration.state().currentAssignment(homeRegion).getOrNull();
		if (currentAssignment == null) {
			return List.of();
		}
		boolean cached = this.remoteSlotMap.region().equals(homeRegion)
				&& this.remoteSlotMap.epoch() == currentAssignment.epoch();
		if (!cached) {
			this.remoteSlotMap = new CachedSlotMap(homeRegion, currentAssignment.epoch(),
					SlotMap.of(currentAssignment));
		}
		return this.remoteSlotMap.map().candidates(SlotMap.slotOf(key)).stream().map(GuardMember::host).toList();
	}

	private long assignmentEpoch(String homeRegion) {
		return this.configuration.state().currentAssignment(homeRegion).map(GuardAssignment::epoch).getOrElse(0L);
	}

	KeyGuard keyGuard() {
		return this.keyGuard;
	}

	private static long now() {
		return MonotonicClock.millis();
	}

	/**
	 * Slot map of the remote region that was used last. Immutable.
	 */
	private record CachedSlotMap(String region, long epoch, SlotMap map) {

	}

	/**
	 * A pending grant request, which is sent in turn to the hosts that may hold authority
	 * for its key. Ends with a final verdict or at its deadline. Confined to the control
	 * thread.
	 */
	private final class PendingGrant {

		private final String homeRegion;

		private final GrantRequest request;

		private final long deadlineMillis;

		private final Consumer<GrantReply> onCompletion;

		private int candidateIndex;

		private int round;

		private String currentCandidate = "";

		private GrantReply lastReply;

		private boolean completed;

		PendingGrant(String homeRegion, GrantRequest request, long deadlineMillis, Consumer<GrantReply> onCompletion) {
			this.homeRegion = homeRegion;
			this.request = request;
			this.deadlineMillis = deadlineMillis;
			this.onCompletion = onCompletion;
			this.lastReply = new GrantReply(request.key(), request.requestId(), GrantVerdict.NOT_OWNER.name(), "", 0,
					"");
		}

		void tryNextCandidate() {
			if (this.completed) {
				return;
			}
			if (MonotonicClock.millis() >= this.deadlineMillis) {
				complete(this.lastReply);
				return;
			}
			List<String> hosts = candidateHosts(this.homeRegion, this.request.key());
			if (this.candidateIndex >= hosts.size()) {
				this.candidateIndex = 0;
				this.round++;
				GuardService.this.reactor.delayBackground(ROUND_PAUSE_MILLIS, this::tryNextCandidate);
				return;
			}
			String candidate = hosts.get(this.candidateIndex++);
			boolean live = GuardService.this.reachability.get().reachableIncarnations().containsKey(candidate);
			// Candidates that seem unreachable are tried only in every fourth round.
			if (!live && this.round % 4 != 3) {
				tryNextCandidate();
				return;
			}
			sendTo(candidate);
		}

		private void sendTo(String candidate) {
			this.currentCandidate = candidate;
			int sentRound = this.round;
			int sentIndex = this.candidateIndex;
			GrantRequest grantRequest = new GrantRequest(this.request.key(), this.request.mintedMillis(),
					this.request.host(), this.request.incarnation(), this.request.requestId(),
					assignmentEpoch(this.homeRegion), this.request.fingerprint());
			GuardService.this.send(candidate, grantRequest);
			GuardService.this.reactor.delayBackground(GuardService.this.requestTimeoutMillis, () -> {
				if (sentRound == this.round && sentIndex == this.candidateIndex) {
					tryNextCandidate();
				}
			});
		}

		void onReply(String peer, GrantReply reply) {
			this.lastReply = reply;
			GrantVerdict verdict = GrantVerdict.valueOf(reply.verdict());
			if (verdict.retryable()) {
				tryNextCandidate();
				return;
			}
			if (verdict == GrantVerdict.GRANTED) {
				GuardService.this.granterHosts.put(this.request.requestId(), peer);
			}
			complete(reply);
		}

		private void complete(GrantReply finalReply) {
			this.completed = true;
			GuardService.this.pendingGrants.remove(this.request.requestId());
			this.onCompletion.accept(finalReply);
		}

	}

}
