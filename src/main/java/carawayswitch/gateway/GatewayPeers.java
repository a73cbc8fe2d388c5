package carawayswitch.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.activej.reactor.nio.NioReactor;

import carawayswitch.log.DecisionLog;
import carawayswitch.log.LogEvent;
import carawayswitch.message.GatewayBeat;
import carawayswitch.message.Message;
import carawayswitch.time.CheckAfterInput;
import carawayswitch.transport.PeerHandler;
import carawayswitch.transport.PeerIdentity;
import carawayswitch.transport.PeerTransport;

/**
 * Failure detector and messaging for the other gateway hosts: learns of them from the
 * directory, exchanges heartbeats with them and notifies a listener of messages and of
 * changes of the live hosts. The views of two hosts may differ for a while; nothing that
 * must not happen twice depends on them. Confined to the thread of its event loop.
 */
final class GatewayPeers implements PeerHandler {

	/** Heartbeat interval in milliseconds. */
	static final long HEARTBEAT_MILLIS = 250;

	/**
	 * Time without traffic in milliseconds after which a probed connection is replaced.
	 */
	private static final long SILENCE_TIMEOUT_MILLIS = 700;

	private final NioReactor reactor;

	private final PeerView view;

	private final PeerTransport transport;

	private final DecisionLog log;

	private final Listener listener;

	private final RecordRelay relay;

	private final StoreEpoch storeEpoch;

	private final CheckAfterInput heartbeats;

	private final CheckAfterInput viewRefresh;

	GatewayPeers(NioReactor reactor, HostRecord self, String clusterName, StoreEpoch storeEpoch, DecisionLog log,
			Listener listener) {
		this.storeEpoch = storeEpoch;
		this.reactor = reactor;
		this.view = new PeerView(self);
		this.log = log;
		this.listener = listener;
		this.relay = new RecordRelay(reactor, this);
		this.transport = new PeerTransport(reactor, new PeerIdentity(self.host(), self.incarnation(), clusterName),
				new PeerTransport.Timing(HEARTBEAT_MILLIS, SILENCE_TIMEOUT_MILLIS), this.view::address, this);
		this.heartbeats = CheckAfterInput.on(reactor, this::sendHeartbeats);
		this.viewRefresh = CheckAfterInput.on(reactor, this::refreshView);
	}

	/**
	 * Starts to listen and to send heartbeats.
	 * @param address the address to bind; port 0 selects an ephemeral port
	 * @return the record of this host with the bound address
	 * @throws IOException if the address cannot be bound
	 */
	HostRecord start(InetSocketAddress address) throws IOException {
		InetSocketAddress bound = this.transport.listen(address);
		HostRecord unbound = this.view.self();
		this.view.self(new HostRecord(unbound.host(), bound.getAddress().getHostAddress() + ":" + bound.getPort(),
				unbound.zone(), unbound.incarnation(), unbound.capacity()));
		RepeatedTask.start(this.reactor, HEARTBEAT_MILLIS, () -> this.heartbeats.request(Clocks.monotonicMillis()));
		return this.view.self();
	}

	/**
	 * Applies records of the directory to the view.
	 * @param records latest record of each host that was read; empty for a removed one
	 * @param now monotonic time in milliseconds
	 */
	void updateDirectory(Map<String, Optional<HostRecord>> records, long now) {
		records.forEach((host, record) -> record.ifPresentOrElse((present) -> this.view.addFromDirectory(present, now),
				() -> this.view.removeFromDirectory(host, now)));
	}

	private void sendHeartbeats(long now) {
		this.view.heartbeatTargets(now).forEach((host) -> this.transport.send(host, createHeartbeat(false, now)));
		refreshView(now);
	}

	private GatewayBeat createHeartbeat(boolean reply, long now) {
		HostRecord self = this.view.self();
		return new GatewayBeat(self.host(), self.incarnation(), self.address(), self.zone(), this.view.leaving(), reply,
				self.capacity(), reply ? this.view.leaders(now).stream().map(HostRecord::toMember).toList() : List.of(),
				this.storeEpoch.settledEpoch(), this.listener.attemptCount());
	}

	private void refreshView(long now) {
		this.view.refresh(now).ifPresent((lost) -> {
			List<String> live = this.view.live();
			this.log.write(LogEvent.VIEW_CHANGED, "live", live.size(), "lost", String.join(",", lost), "owner",
					this.view.owner());
			this.listener.onViewChanged(lost);
		});
	}

	@Override
	public void onMessage(String peer, long incarnation, Message message) {
		long now = Clocks.monotonicMillis();
		if (message instanceof GatewayBeat heartbeat) {
			onHeartbeat(heartbeat, now);
		}
		else if (!this.relay.onMessage(peer, message)) {
			this.listener.onMessage(peer, message, now);
		}
	}

	RecordRelay relay() {
		return this.relay;
	}

	private void onHeartbeat(GatewayBeat heartbeat, long now) {
		this.storeEpoch.onSettled(heartbeat.settledEpoch());
		this.listener.onAttemptCount(heartbeat.host(), heartbeat.plainAttempts());
		List<String> previousTargets = heartbeat.reply() ? this.view.heartbeatTargets(now) : List.of();
		if (this.view.onHeartbeat(heartbeat, now)) {
			this.listener.onViewChanged(List.of(heartbeat.host()));
		}
		if (!heartbeat.reply()) {
			this.transport.reply(heartbeat.host(), createHeartbeat(true, now));
		}
		else {
			// Sends a heartbeat to a newly learned leader at once instead of at the next
			// interval.
			List<String> newTargets = new ArrayList<>(this.view.heartbeatTargets(now));
			newTargets.removeAll(previousTargets);
			newTargets.forEach((host) -> this.transport.send(host, createHeartbeat(false, now)));
		}
		this.viewRefresh.request(now);
	}

	/**
	 * Sends the live hosts of the highest ranks to a host that wrongly regards this one
	 * as the owner of the pools.
	 * @param host id of the host
	 */
	void sendLeaders(String host) {
		this.transport.reply(host, createHeartbeat(true, Clocks.monotonicMillis()));
	}

	/**
	 * Returns the hosts that this one may query in place of the store.
	 * @param excluded ids of hosts that failed to answer recently
	 * @return ids of the hosts in the order in which to query them; empty if this host
	 * reads the store itself
	 */
	List<String> relays(Set<String> excluded) {
		return this.view.relays(excluded);
	}

	@Override
	public Set<String> awaitedPeers() {
		return this.listener.awaitedPeers();
	}

	@Override
	public void onPeerLost(String host) {
		long now = Clocks.monotonicMillis();
		this.view.markDead(host, now);
		this.viewRefresh.request(now);
	}

	String owner() {
		return this.view.owner();
	}

	/**
	 * Returns the live hosts of the highest ranks except this one.
	 * @param now monotonic time in milliseconds
	 * @return ids of the hosts
	 */
	List<String> successors(long now) {
		return this.view.leaders(now).stream().map(HostRecord::host).filter((host) -> !host.equals(selfId())).toList();
	}

	void send(String host, Message message) {
		this.transport.send(host, message);
	}

	/**
	 * Sends a message.
	 * @param host id of the host
	 * @param message the message
	 * @param onUnsent called if no byte of the message was sent
	 */
	void send(String host, Message message, Runnable onUnsent) {
		this.transport.send(host, message, onUnsent);
	}

	/**
	 * Sends a message to a host over the connection of a received message.
	 * @param host id of the host
	 * @param message the message
	 */
	void reply(String host, Message message) {
		this.transport.reply(host, message);
	}

	/**
	 * Marks this host as leaving, so that it no longer owns pools; its next heartbeats
	 * announce it.
	 */
	void leave() {
		this.view.leave();
		refreshView(Clocks.monotonicMillis());
	}

	String selfId() {
		return this.view.self().host();
	}

	/**
	 * Returns the share of the hosts that this one can reach.
	 * @param since monotonic time in milliseconds since which this host owns the pools
	 * @return more than 0, up to 1
	 */
	double reachableShare(long since) {
		return this.view.reachableShare(since, Clocks.monotonicMillis());
	}

	int largestFleetSize() {
		return this.view.largestFleetSize();
	}

	List<String> liveHosts() {
		return this.view.live();
	}

	int liveCount() {
		return this.view.live().size();
	}

	/**
	 * Returns the number of known hosts by zone.
	 * @return number of hosts by zone, this one included
	 */
	Map<String, Integer> hostsByZone() {
		return this.view.hostsByZone();
	}

	/**
	 * Sets the meter that counts the messages to other zones.
	 * @param meter the meter
	 */
	void meter(CrossZoneMeter meter) {
		this.transport.traffic()
			.listener((peer, message, bytes) -> meter.onMessage(this.view.zone(peer), message, bytes));
	}

	long sentBytes() {
		return this.transport.traffic().sentBytes();
	}

	/**
	 * Receives messages of other hosts and changes of the live hosts.
	 */
	interface Listener {

		/**
		 * Handles a message that is neither a heartbeat nor a relay message.
		 * @param peer id of the sending host
		 * @param message the message
		 * @param now monotonic time in milliseconds
		 */
		void onMessage(String peer, Message message, long now);

		/**
		 * Handles a change of the live hosts or the restart of one.
		 * @param lost ids of hosts that are dead, leaving or restarted; empty if hosts
		 * were only added
		 */
		void onViewChanged(List<String> lost);

		/**
		 * Handles the number of requests that another host has sent to plain services.
		 * @param host id of the host
		 * @param total number since the start of that host
		 */
		void onAttemptCount(String host, long total);

		/**
		 * Returns the number of requests that this host has sent to plain services.
		 * @return number since the start of this host
		 */
		long attemptCount();

		/**
		 * Returns the hosts with outstanding answers, whose connections are probed.
		 * @return ids of the hosts
		 */
		Set<String> awaitedPeers();

	}

}
