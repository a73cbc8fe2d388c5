package carawayswitch.gateway;

import java.util.List;
import java.util.function.Consumer;

import io.activej.reactor.nio.NioReactor;

import carawayswitch.log.DecisionLog;
import carawayswitch.message.CapHistory;
import carawayswitch.message.CrashEvidence;
import carawayswitch.message.EndpointLimit;
import carawayswitch.message.EngineReplaced;
import carawayswitch.message.Message;
import carawayswitch.message.PlaceBegun;
import carawayswitch.message.PlaceEnded;
import carawayswitch.message.PlaceReply;
import carawayswitch.message.PlaceRequest;
import carawayswitch.message.PlaceStalled;
import carawayswitch.message.PlacesHeld;
import carawayswitch.message.StreamsBegun;
import carawayswitch.schedule.PromptQuarantine;

/**
 * Runs the {@link PoolOwner} of this host: passes on what hosts report to it, has it
 * decide, records the use of caps, and hands its evidence on crashes to its successors.
 * Confined to the event loop thread.
 */
final class LocalPoolOwner {

	/**
	 * Time in milliseconds for which a former pool owner answers place requests with the
	 * current owner. After that it decides them itself, since the requesting host may not
	 * be able to reach the host that this one regards as the owner.
	 */
	private static final long OWNER_REDIRECT_MILLIS = 1000;

	private final NioReactor reactor;

	private final PoolOwner owner;

	private final DecisionLog log;

	private final CrashEvidenceExchange evidence;

	private final CapUseRecorder capUse;

	private final Listener listener;

	private GatewayPeers peers;

	private StreamOrigins streams;

	private PlainServiceCrashes plainCrashes;

	private long ownerSince = Clocks.monotonicMillis();

	/** Monotonic time at which this host last ceased to be the pool owner. */
	private long ownershipLostAt = Long.MIN_VALUE / 2;

	private boolean decisionScheduled;

	LocalPoolOwner(NioReactor reactor, DecisionLog log, PoolOwner owner, PromptQuarantine quarantine,
			long capWindowMillis, Listener listener) {
		this.reactor = reactor;
		this.owner = owner;
		this.log = log;
		this.listener = listener;
		this.evidence = new CrashEvidenceExchange(reactor, log, false, owner.crashAttribution(), quarantine,
				this::sendToSuccessors);
		this.capUse = new CapUseRecorder(reactor, log, owner.caps(), capWindowMillis, this.ownerSince);
	}

	void start(GatewayPeers gatewayPeers, StreamOrigins streamOrigins, PlainServiceCrashes crashes,
			CapUseStore capUseStore) {
		this.peers = gatewayPeers;
		this.streams = streamOrigins;
		this.plainCrashes = crashes;
		this.owner.beginVersions(streamOrigins::beginVersions);
		this.capUse.start(capUseStore);
		if (this.listener.ownsPools()) {
			this.capUse.begin(Clocks.monotonicMillis());
		}
	}

	PoolOwner owner() {
		return this.owner;
	}

	void scheduleDecision() {
		if (!this.decisionScheduled) {
			this.decisionScheduled = true;
			this.reactor.post(this::decide);
		}
	}

	void decide() {
		this.decisionScheduled = false;
		this.owner.decide(Clocks.monotonicMillis()).forEach(this.listener::onDecision);
		this.owner.zoneTraffic().takeChanges((service, change) -> PlainZoneTraffic.log(this.log, service, change));
		this.listener.onDecided();
	}

	private void sendToSuccessors() {
		long now = Clocks.monotonicMillis();
		this.evidence.takeNew(now)
			.ifPresent(
					(newEvidence) -> this.peers.successors(now).forEach((host) -> this.peers.send(host, newEvidence)));
	}

	/**
	 * Handles a message to the owner of the pools.
	 * @param peer id of the sending host
	 * @param message the message
	 * @param now monotonic time in milliseconds
	 */
	void onMessage(String peer, Message message, long now) {
		if (message instanceof PlaceRequest request) {
			if (!this.listener.ownsPools() && now - this.ownershipLostAt < OWNER_REDIRECT_MILLIS) {
				this.peers.sendLeaders(peer);
				return;
			}
			PlaceReply reply = this.owner.requestPlace(peer, request, now);
			if (reply != null) {
				this.peers.reply(peer, reply);
			}
		}
		else if (message instanceof PlaceBegun begun) {
			this.owner.onFirstEvent(begun, now);
		}
		else if (message instanceof EndpointLimit limit) {
			this.owner.onLimitNamed(limit, now);
		}
		else if (message instanceof EngineReplaced replaced) {
			this.owner.onReplaced(replaced, now);
		}
		else if (message instanceof PlaceStalled stalled) {
			this.owner.onStalled(stalled, now);
		}
		else if (message instanceof PlaceEnded ended) {
			this.owner.onEnded(ended, now);
			this.evidence.onAttemptEnded(ended.requestId());
		}
		else if (message instanceof StreamsBegun begun) {
			this.streams.onStreamsBegun(peer.equals(this.peers.selfId()) ? "" : peer, begun);
		}
		else if (message instanceof CrashEvidence newEvidence) {
			onEvidence(newEvidence, now);
		}
		else if (message instanceof PlacesHeld held) {
			this.owner.adopt(peer, held.service(), held.places(), now);
		}
		else if (message instanceof CapHistory history) {
			this.owner.caps().mergeHistory(peer, history, this.peers.largestFleetSize(), now);
		}
		scheduleDecision();
	}

	private void onEvidence(CrashEvidence newEvidence, long now) {
		if (newEvidence.plain()) {
			this.plainCrashes.receive(newEvidence, now);
		}
		else {
			this.evidence.receive(newEvidence, false, now);
		}
	}

	/**
	 * Takes the ownership of the pools.
	 * @param now monotonic time in milliseconds
	 */
	void begin(long now) {
		this.ownerSince = now;
		this.owner.becomeOwner(now);
		this.capUse.begin(now);
	}

	/**
	 * Leaves the ownership to another host.
	 * @param sendToOwner sends a message to the current owner
	 * @param owned true if this host was the owner
	 * @param now monotonic time in milliseconds
	 */
	void resign(Consumer<Message> sendToOwner, boolean owned, long now) {
		this.evidence.createComplete(now).ifPresent(sendToOwner);
		this.ownershipLostAt = owned ? now : this.ownershipLostAt;
		this.owner.resign();
		this.capUse.resign();
	}

	/**
	 * Handles a change of the live hosts.
	 * @param lost ids of hosts that are dead, leaving or restarted
	 * @param now monotonic time in milliseconds
	 */
	void onViewChanged(List<String> lost, long now) {
		if (this.listener.ownsPools()) {
			this.evidence.sendToJoined(this.peers.successors(now), lost, this.peers::send, now);
		}
		this.owner.ownerShare(this.peers.reachableShare(this.ownerSince), now);
		scheduleDecision();
	}

	/**
	 * Receives the decisions of the owner.
	 */
	interface Listener {

		boolean ownsPools();

		/**
		 * Handles a decision on a place request.
		 * @param decision the decision
		 */
		void onDecision(PoolOwner.Decision decision);

		/** Handles the end of a scheduling pass. */
		void onDecided();

	}

}
