package carawayswitch.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

import io.activej.common.MemSize;
import io.activej.net.SimpleServer;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.reactor.net.ServerSocketSettings;
import io.activej.reactor.net.SocketSettings;
import io.vavr.control.Try;

import carawayswitch.backpressure.HeldUpload;
import carawayswitch.config.Tier;
import carawayswitch.http.PartialBody;
import carawayswitch.http.ReceivedRequest;
import carawayswitch.http.RequestBodyBudget;
import carawayswitch.http.RequestLimits;
import carawayswitch.http.ServerConnection;
import carawayswitch.log.LogEvent;
import carawayswitch.route.RouteTable;
import carawayswitch.time.CheckAfterInput;

/**
 * Client-facing HTTP server: accepts connections and starts an {@link Exchange} for each
 * request. Confined to the event loop thread.
 */
final class FrontServer implements ServerConnection.Handler {

	private static final int BACKLOG = 1024;

	/**
	 * Bytes of responses that the operating system may buffer for a client where memory
	 * is bounded. It would otherwise take several megabytes for each client that does not
	 * read, which the budget of this host does not see.
	 */
	private static final MemSize SEND_BUFFER_SIZE = MemSize.kilobytes(128);

	/** Time in milliseconds between two timeout checks of idle and slow clients. */
	private static final long TIMEOUT_CHECK_INTERVAL_MILLIS = 500;

	/**
	 * Time in milliseconds between two checks whether there is memory for the bodies that
	 * wait; a small part of the time for which they may.
	 */
	private static final long ROOM_CHECK_INTERVAL_MILLIS = 25;

	private final GatewayContext context;

	/** Open connections with the exchange in progress, or null for idle ones. */
	private final Map<ServerConnection, Exchange> connections = new HashMap<>();

	/** Connections that are not read, since their bodies wait for memory. */
	private final Set<ServerConnection> pausedReads = new LinkedHashSet<>();

	private final ResponseBuffers responseBuffers;

	/** Whether {@link #resumeReads} is scheduled. */
	private boolean roomCheckScheduled;

	private SimpleServer server;

	private int activeRequests;

	/** Number of refused bodies that the log has. */
	private long loggedRefusals;

	FrontServer(GatewayContext context) {
		this.context = context;
		this.responseBuffers = new ResponseBuffers(context, this.connections::get);
		if (context.pressure.inForce()) {
			context.requestBodies.reclaimer(new UploadReclaimer());
		}
	}

	InetSocketAddress listen(InetSocketAddress address) throws IOException {
		SocketSettings.Builder accepted = SocketSettings.builder();
		if (this.context.pressure.inForce()) {
			accepted.withSendBufferSize(SEND_BUFFER_SIZE);
		}
		this.server = SimpleServer.builder(this.context.reactor, this::accept)
			.withListenAddress(address)
			.withServerSocketSettings(ServerSocketSettings.create(BACKLOG))
			.withSocketSettings(accepted.build())
			.build();
		this.server.listen();
		CheckAfterInput timeouts = CheckAfterInput.on(this.context.reactor, this::checkTimeouts);
		RepeatedTask.start(this.context.reactor, TIMEOUT_CHECK_INTERVAL_MILLIS,
				() -> timeouts.request(Clocks.monotonicMillis()));
		return this.server.getBoundAddresses().get(0);
	}

	private void accept(ITcpSocket socket) {
		ServerConnection connection = new ServerConnection(socket, this, this::limits, Clocks::monotonicMillis,
				this.context.requestBodies);
		this.connections.put(connection, null);
		if (this.context.stopping()) {
			connection.closeAfterResponse();
		}
		connection.start();
	}

	private RequestLimits limits() {
		RouteTable table = this.context.routes.get();
		return (table != null) ? table.limits() : RequestLimits.DEFAULT;
	}

	private void checkTimeouts(long now) {
		List.copyOf(this.connections.keySet()).forEach((connection) -> connection.checkTimeouts(now));
		RequestBodyBudget bodies = this.context.requestBodies;
		if (bodies.refusedBodies() > this.loggedRefusals) {
			this.context.log.write(LogEvent.BODIES_REFUSED, "refused", bodies.refusedBodies() - this.loggedRefusals,
					"held_bytes", bodies.heldBytes(), "limit_bytes", bodies.limitBytes());
			this.loggedRefusals = bodies.refusedBodies();
		}
	}

	@Override
	public int urgency(ReceivedRequest head) {
		return admittedUrgency(head).orElse(0);
	}

	// The failure of a request that cannot be decoded is logged once it is complete.
	private OptionalInt admittedUrgency(ReceivedRequest head) {
		return Try.of(() -> this.context.headerCodec.decodeRequest(head))
			.map((metadata) -> Admission.urgency(this.context.routes.get(), this.context.bounds(), metadata,
					head.path()))
			.getOrElse(OptionalInt.empty());
	}

	@Override
	public long roomWaitMillis(ReceivedRequest head) {
		return this.context.pressure.inForce()
				? HeldUpload.roomWaitMillis(Try.of(() -> this.context.headerCodec.decodeRequest(head))
					.map(RequestMetadata::waitLimitMillis)
					.getOrElse(0L))
				: 0;
	}

	@Override
	public void onReadPaused(ServerConnection connection) {
		this.pausedReads.add(connection);
		scheduleRoomCheck();
	}

	private void scheduleRoomCheck() {
		if (!this.roomCheckScheduled && !this.pausedReads.isEmpty()) {
			this.roomCheckScheduled = true;
			this.context.reactor.delayBackground(ROOM_CHECK_INTERVAL_MILLIS, this::resumeReads);
		}
	}

	// Once one body finds no room, less urgent ones would not find any by ending others.
	private void resumeReads() {
		this.roomCheckScheduled = false;
		long now = Clocks.monotonicMillis();
		boolean full = false;
		for (ServerConnection connection : mostUrgentFirst(this.pausedReads)) {
			if (!full || connection.roomWaitOver(now)) {
				// A connection that goes on reading may pause again at once.
				this.pausedReads.remove(connection);
				if (!connection.resumeRead(now)) {
					full = true;
					this.pausedReads.add(connection);
				}
			}
		}
		scheduleRoomCheck();
	}

	private static List<ServerConnection> mostUrgentFirst(Set<ServerConnection> connections) {
		return connections.stream()
			.sorted(Comparator
				.comparingInt(
						(ServerConnection connection) -> connection.partialBody().map(PartialBody::urgency).orElse(0))
				.reversed())
			.toList();
	}

	// Lists the requests whose bodies are being received or held. The exchange of a
	// connection that reads another request is left out, since that request may be the
	// one that asks.
	private List<HeldUpload<ReleasableUpload>> uploads() {
		return this.connections.entrySet()
			.stream()
			.map((entry) -> entry.getKey().requestIncomplete() ? partialUpload(entry.getKey())
					: Optional.ofNullable(entry.getValue()).flatMap(Exchange::upload))
			.flatMap(Optional::stream)
			.toList();
	}

	private Optional<HeldUpload<ReleasableUpload>> partialUpload(ServerConnection connection) {
		return connection.partialBody()
			.map((body) -> new HeldUpload<>(
					new ReleasableUpload(() -> this.context.headerCodec.decodeRequest(body.head()).attemptId(),
							connection::dropPartialBody),
					body.urgency(), body.reservedBytes(), false, 0));
	}

	private void end(HeldUpload<ReleasableUpload> upload, long now) {
		this.context.boundReporter.report("uploads", LogEvent.UPLOAD_ENDED, "request",
				Try.of(() -> upload.request().attemptId().get()).getOrElse(""), "urgency", upload.urgency(),
				"body_bytes", upload.bytes(), "ms", upload.sent() ? now - upload.sentAt() : -1);
		upload.request().release().run();
	}

	@Override
	public void onBodyRefused(ServerConnection connection, ReceivedRequest head, long bodyBytes) {
		int highestUrgency = admittedUrgency(head).orElse(Tier.HIGHEST_URGENCY);
		begin(connection, head).refuseBody(this.context.requestBodies.canHold(bodyBytes, highestUrgency));
	}

	@Override
	public void onRequest(ServerConnection connection, ReceivedRequest request) {
		begin(connection, request).start(Clocks.monotonicMillis());
	}

	private Exchange begin(ServerConnection connection, ReceivedRequest request) {
		this.activeRequests++;
		Exchange[] exchange = new Exchange[1];
		exchange[0] = new Exchange(this.context, connection, request, () -> {
			this.activeRequests--;
			this.connections.replace(connection, exchange[0], null);
		});
		this.connections.put(connection, exchange[0]);
		return exchange[0];
	}

	@Override
	public void onRejected(ServerConnection connection, int status) {
		this.context.log.write(LogEvent.REQUEST_REJECTED, "status", status, "limits_version",
				(this.context.routes.get() != null) ? this.context.routes.get().version() : -1);
	}

	@Override
	public void onBuffered(ServerConnection connection, long bytes) {
		this.responseBuffers.onBuffered(connection, bytes);
	}

	@Override
	public void onClosed(ServerConnection connection) {
		this.responseBuffers.onClosed(connection);
		Exchange exchange = this.connections.remove(connection);
		if (exchange != null) {
			exchange.onClientDisconnected();
		}
	}

	/** Closes each connection after its next response. */
	void closeAfterResponses() {
		this.connections.keySet().forEach(ServerConnection::closeAfterResponse);
	}

	/**
	 * Returns the exchanges in progress.
	 * @return a copy, since exchanges may end while it is used
	 */
	List<Exchange> exchanges() {
		return this.connections.values().stream().filter(Objects::nonNull).toList();
	}

	long unwrittenBytes() {
		return this.connections.keySet().stream().mapToLong(ServerConnection::unwrittenBytes).sum();
	}

	int activeRequests() {
		return this.activeRequests;
	}

	int connectionCount() {
		return this.connections.size();
	}

	/**
	 * Ends requests that are less urgent than one without memory and whose bodies are
	 * held or being received.
	 */
	private final class UploadReclaimer implements RequestBodyBudget.Reclaimer {

		@Override
		public boolean reclaim(int urgency) {
			long now = Clocks.monotonicMillis();
			Optional<HeldUpload<ReleasableUpload>> ended = HeldUpload.endedFor(uploads(), urgency, now);
			ended.ifPresent((upload) -> end(upload, now));
			return ended.isPresent();
		}

		@Override
		public boolean reclaimsLater(int urgency) {
			return HeldUpload.roomExpected(uploads(), urgency);
		}

	}

}
