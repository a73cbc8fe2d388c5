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
 * Connects the {@link KeyGuard} with other hosts. The guard is confined to the control
 * thread; the methods of {@link GrantClient} may be called by any thread.
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

	private final KeyGuard guard;

	private final long askTimeoutMillis;

	private final Map<String, Ask> asks = new HashMap<>();

	private final ConcurrentMap<String, AttachmentReceiver> attachments = new ConcurrentHashMap<>();

	private final ConcurrentMap<String, String> granters = new ConcurrentHashMap<>();

	private SlotMaps remoteMaps = new SlotMaps("", 0, null);

	private int heldBefore;

	GuardService(String host, String region, NioReactor reactor, PeerTransport transport,
			ConfigurationHolder configuration, Supplier<Reachability> reachability, AuditTrail audit, KeyGuard guard,
			long askTimeoutMillis) {
		this.host = host;
		this.region = region;
		this.reactor = reactor;
		this.transport = transport;
		this.configuration = configuration;
		this.reachability = reachability;
		this.audit = audit;
		this.guard = guard;
		this.askTimeoutMillis = askTimeoutMillis;
	}

	void onConfiguration() {
		List<GuardAssignment> history = this.configuration.state().assignments(this.region);
		if (!history.isEmpty()) {
			this.guard.onAssignments(history);
		}
		tick();
	}

	void tick() {
		this.guard.tick(this.reachability.get(), now(), System.currentTimeMillis());
		this.guard.releaseRequests().forEach((peer, request) -> send(peer, request));
		this.guard.leaseRequests(now()).forEach((peer, request) -> send(peer, request));
		int held = this.guard.heldSlotCount();
		if (held != this.heldBefore) {
			LogEvent.SLOTS_CHANGED.log("held", held, "before", this.heldBefore);
			this.audit.addSystemEntry(System.currentTimeMillis(), "slots.changed", this.host, held + " slots");
			this.heldBefore = held;
		}
	}

	void handOver() {
		this.guard.handovers(this.reachability.get()).forEach((peer, message) -> send(peer, message));
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
	 * @return true if the message was meant for the guard
	 */
	boolean onMessage(String peer, Message message) {
		if (message instanceof GrantRequest request) {
			send(peer, this.guard.onGrantRequest(request, now(), System.currentTimeMillis()));
		}
		else if (message instanceof GrantReply reply) {
			onGrantReply(peer, reply);
		}
		else if (message instanceof GrantSettled settled) {
			this.guard.onGrantSettled(settled);
		}
		else if (message instanceof LeaseRequest request) {
			send(peer, this.guard.onLeaseRequest(request, this.reachability.get(), now()));
		}
		else if (message instanceof LeaseReply reply) {
			this.guard.onLeaseReply(reply);
		}
		else {
			return onTransferMessage(peer, message) || onAttachedAnswer(message);
		}
		return true;
	}

	private boolean onTransferMessage(String peer, Message message) {
		if (message instanceof ReleaseRequest request) {
			ReleaseReply reply = this.guard.onReleaseRequest(request);
			if (reply != null) {
				send(peer, reply);
			}
		}
		else if (message instanceof ReleaseReply reply) {
			this.guard.onReleaseReply(reply);
			tick();
		}
		else if (message instanceof Handover handover) {
			send(peer, this.guard.onHandover(handover));
			tick();
		}
		else if (message instanceof HandoverReply reply) {
			this.guard.onHandoverReply(reply);
		}
		else {
			return false;
		}
		return true;
	}

	private boolean onAttachedAnswer(Message message) {
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
			Ask ask = new Ask(homeRegion, request, deadlineMillis, reply);
			this.asks.put(request.requestId(), ask);
			ask.next();
		});
	}

	private void onGrantReply(String peer, GrantReply reply) {
		Ask ask = this.asks.get(reply.requestId());
		if (ask != null && ask.asked.equals(peer)) {
			ask.onReply(peer, reply);
		}
	}

	@Override
	public void settle(String homeRegion, GrantSettled settled) {
		String granter = this.granters.remove(settled.requestId());
		if (granter != null) {
			this.reactor.execute(() -> send(granter, settled));
		}
	}

	@Override
	public void attach(String holder, long incarnation, String holderRequestId, AttachmentReceiver attachment) {
		this.attachments.put(attachment.requestId(), attachment);
		this.reactor.execute(() -> this.transport.send(holder,
				new AttachRequest(holderRequestId, attachment.requestId(), incarnation),
				() -> abandon(attachment.requestId())));
		this.reactor.execute(() -> watch(holder, attachment.requestId()));
	}

	private void watch(String holder, String requestId) {
		this.reactor.delayBackground(this.askTimeoutMillis, () -> {
			if (!this.attachments.containsKey(requestId)) {
				return;
			}
			if (this.reachability.get().reachableIncarnations().containsKey(holder)) {
				watch(holder, requestId);
			}
			else {
				abandon(requestId);
			}
		});
	}

	private void abandon(String requestId) {
		AttachmentReceiver attachment = this.attachments.remove(requestId);
		if (attachment != null) {
			attachment.end(new ReplyEnd(requestId, 0, Outcome.UNKNOWN.label(), ErrorKind.KEY_OUTCOME_UNKNOWN.label(), 0,
					0, 0, null));
		}
	}

	private List<String> candidates(String homeRegion, String key) {
		if (homeRegion.equals(this.region)) {
			return this.guard.candidates(key);
		}
		GuardAssignment newest = this.configuration.state().currentAssignment(homeRegion).getOrNull();
		if (newest == null) {
			return List.of();
		}
		boolean known = this.remoteMaps.region().equals(homeRegion) && this.remoteMaps.epoch() == newest.epoch();
		if (!known) {
			this.remoteMaps = new SlotMaps(homeRegion, newest.epoch(), SlotMap.of(newest));
		}
		return this.remoteMaps.map().candidates(SlotMap.slotOf(key)).stream().map(GuardMember::host).toList();
	}

	private long epoch(String homeRegion) {
		return this.configuration.state().currentAssignment(homeRegion).map(GuardAssignment::epoch).getOrElse(0L);
	}

	KeyGuard guard() {
		return this.guard;
	}

	private static long now() {
		return MonotonicClock.millis();
	}

	private record SlotMaps(String region, long epoch, SlotMap map) {

	}

	/**
	 * A request for a grant that goes round the hosts that may hold authority. Confined
	 * to the control thread.
	 */
	private final class Ask {

		private final String homeRegion;

		private final GrantRequest request;

		private final long deadline;

		private final Consumer<GrantReply> reply;

		private int position;

		private int round;

		private String asked = "";

		private GrantReply last;

		private boolean done;

		Ask(String homeRegion, GrantRequest request, long deadline, Consumer<GrantReply> reply) {
			this.homeRegion = homeRegion;
			this.request = request;
			this.deadline = deadline;
			this.reply = reply;
			this.last = new GrantReply(request.key(), request.requestId(), GrantVerdict.NOT_OWNER.name(), "", 0, "");
		}

		void next() {
			if (this.done) {
				return;
			}
			if (MonotonicClock.millis() >= this.deadline) {
				end(this.last);
				return;
			}
			List<String> hosts = candidates(this.homeRegion, this.request.key());
			if (this.position >= hosts.size()) {
				this.position = 0;
				this.round++;
				GuardService.this.reactor.delayBackground(ROUND_PAUSE_MILLIS, this::next);
				return;
			}
			String candidate = hosts.get(this.position++);
			boolean live = GuardService.this.reachability.get().reachableIncarnations().containsKey(candidate);
			if (!live && this.round % 4 != 3) {
				next();
				return;
			}
			send(candidate);
		}

		private void send(String candidate) {
			this.asked = candidate;
			int askedRound = this.round;
			int askedPosition = this.position;
			GrantRequest current = new GrantRequest(this.request.key(), this.request.mintedMillis(),
					this.request.host(), this.request.incarnation(), this.request.requestId(), epoch(this.homeRegion),
					this.request.fingerprint());
			GuardService.this.send(candidate, current);
			GuardService.this.reactor.delayBackground(GuardService.this.askTimeoutMillis, () -> {
				if (askedRound == this.round && askedPosition == this.position) {
					next();
				}
			});
		}

		void onReply(String peer, GrantReply answer) {
			this.last = answer;
			GrantVerdict verdict = GrantVerdict.valueOf(answer.verdict());
			if (verdict.retryable()) {
				next();
				return;
			}
			if (verdict == GrantVerdict.GRANTED) {
				GuardService.this.granters.put(this.request.requestId(), peer);
			}
			end(answer);
		}

		private void end(GrantReply answer) {
			this.done = true;
			GuardService.this.asks.remove(this.request.requestId());
			this.reply.accept(answer);
		}

	}

}
