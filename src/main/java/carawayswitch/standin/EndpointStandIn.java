package carawayswitch.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.eventloop.Eventloop;
import io.activej.net.SimpleServer;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;

import carawayswitch.http.Json;
import carawayswitch.http.ReceivedRequest;
import carawayswitch.http.RequestLimits;
import carawayswitch.http.ServerConnection;
import carawayswitch.time.MonotonicClock;
import carawayswitch.time.WallClock;

/**
 * Stand-in for an endpoint behind the gateway. It responds with a stream of events if the
 * request has an {@code X-Token-Usage} header, as an engine does, and with a plain body
 * otherwise, and records each request that it executes. Public methods are thread-safe;
 * all other code runs on the thread of the event loop.
 */
public final class EndpointStandIn implements ServerConnection.Handler {

	/** Version of the endpoints that are started without one. */
	public static final String FIRST_VERSION = "v1";

	private static final RequestLimits LIMITS = new RequestLimits(64 * 1024, 8 * 1024 * 1024, 60_000, 600_000);

	private static final int SLOT_COUNT = 4;

	/** Time from the start of a request that crashes the endpoint to the crash. */
	private static final long CRASH_DELAY_MILLIS = 20;

	/** Time from a crash until the endpoint accepts connections again. */
	private static final long RESTART_MILLIS = 200;

	private static final int OK = 200;

	private static final int MISDIRECTED = 421;

	private static final int ERROR = 500;

	private static final int UNAVAILABLE = 503;

	private static final double MILLIS_PER_SECOND = 1000;

	private final Eventloop loop;

	private final String id;

	private final String service;

	private final EventStreams streams;

	private final AtomicReference<ResponseMode> responseMode = new AtomicReference<>(ResponseMode.NORMAL);

	private final List<Map.Entry<String, HttpHeaders>> executions = new CopyOnWriteArrayList<>();

	private final List<Map.Entry<String, Integer>> answers = new CopyOnWriteArrayList<>();

	private final Set<ServerConnection> openConnections = ConcurrentHashMap.newKeySet();

	private volatile long workMillis;

	private volatile double requestLimit;

	private volatile Map<String, String> answerHeaders = Map.of();

	private final SurplusAnswers surplusAnswers = new SurplusAnswers();

	private final SplittableRandom random = new SplittableRandom(2);

	private volatile double errorShare;

	private volatile VersionFault versionFault = VersionFault.NONE;

	/** Attempts that have arrived at least once. */
	private final Set<String> seenAttempts = new HashSet<>();

	private final List<Long> arrivalMillis = new CopyOnWriteArrayList<>();

	private final Queue<RequestTrace> traces = new ConcurrentLinkedQueue<>();

	private volatile boolean leaving;

	private volatile double retryAfterSeconds;

	private volatile String crashingSegment = "";

	private volatile String crashingBody = "";

	private volatile Runnable onRestart = () -> {
	};

	private final AtomicInteger crashes = new AtomicInteger();

	/** Time of the latest start in milliseconds since the epoch. */
	private volatile long startedAt = WallClock.millis();

	private volatile boolean down;

	private InetSocketAddress address;

	private EndpointStandIn(Eventloop loop, String id, String service, String version) {
		this.loop = loop;
		this.id = id;
		this.service = service;
		this.streams = new EventStreams(loop, version, this.openConnections::contains);
	}

	/**
	 * Starts an endpoint of the first version on an ephemeral loopback port.
	 * @param id id of the endpoint
	 * @param service name of the service that the endpoint belongs to
	 * @return the endpoint
	 * @throws IOException if no port can be bound
	 */
	public static EndpointStandIn start(String id, String service) throws IOException {
		return start(id, service, FIRST_VERSION);
	}

	/**
	 * Starts an endpoint on an ephemeral loopback port.
	 * @param id id of the endpoint
	 * @param service name of the service that the endpoint belongs to
	 * @param version version of its software, named in each event that it sends
	 * @return the endpoint
	 * @throws IOException if no port can be bound
	 */
	public static EndpointStandIn start(String id, String service, String version) throws IOException {
		Eventloop loop = Eventloop.builder().withTimeProvider(MonotonicClock::millis).build();
		loop.keepAlive(true);
		Thread thread = new Thread(loop, id);
		thread.setDaemon(true);
		thread.start();
		EndpointStandIn endpoint = new EndpointStandIn(loop, id, service, version);
		try {
			loop.submit(endpoint::listen).join();
		}
		catch (CompletionException ex) {
			throw new IOException(ex.getCause());
		}
		return endpoint;
	}

	private void listen() throws IOException {
		SimpleServer server = SimpleServer.builder(this.loop, (socket) -> {
			if (this.down) {
				socket.close();
				return;
			}
			ServerConnection connection = new ServerConnection(this.surplusAnswers.socket(socket), this, () -> LIMITS,
					MonotonicClock::millis);
			this.openConnections.add(connection);
			connection.start();
		}).withListenAddress(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)).build();
		server.listen();
		this.address = server.getBoundAddresses().get(0);
	}

	/**
	 * Returns the registration record of the endpoint with its own address.
	 * @param state {@code ready} or {@code draining}
	 * @return the record as JSON
	 */
	public byte[] registration(String state) {
		return registration(state, this.address);
	}

	/**
	 * Returns the registration record of the endpoint with another address, such as that
	 * of a proxy.
	 * @param state {@code ready} or {@code draining}
	 * @param advertisedAddress address that gateways connect to
	 * @return the record as JSON
	 */
	public byte[] registration(String state, InetSocketAddress advertisedAddress) {
		ObjectNode registration = Json.object()
			.put("service", this.service)
			.put("address", advertisedAddress.getAddress().getHostAddress() + ":" + advertisedAddress.getPort())
			.put("zone", "a")
			.put("version", this.streams.version())
			.put("slots", SLOT_COUNT)
			.put("state", state)
			.put("cold-remaining-ms", 0)
			.put("sequence", 1)
			.put("born", this.startedAt);
		return Json.bytes(registration);
	}

	/**
	 * Returns the id of the endpoint.
	 * @return the id
	 */
	public String id() {
		return this.id;
	}

	/**
	 * Returns the address that the endpoint listens on.
	 * @return the address
	 */
	public InetSocketAddress address() {
		return this.address;
	}

	/**
	 * Sets the response mode of subsequent requests.
	 * @param mode the new mode
	 */
	public void responseMode(ResponseMode mode) {
		this.responseMode.set(mode);
	}

	/**
	 * Sets the interval between the events of a stream.
	 * @param millis interval in milliseconds
	 */
	public void eventIntervalMillis(long millis) {
		this.streams.intervalMillis(millis);
	}

	/**
	 * Sets the time for which the endpoint works on a request before it answers.
	 * @param millis time in milliseconds
	 */
	public void workMillis(long millis) {
		this.workMillis = millis;
	}

	/**
	 * Sends no event for some time and then goes on with all streams.
	 * @param millis time in milliseconds
	 */
	public void silence(long millis) {
		this.streams.silence(millis);
	}

	/**
	 * Names a limit in all subsequent answers; the endpoint does not enforce it.
	 * @param perSecond requests per second from all hosts together, or 0 for no limit
	 */
	public void requestLimit(double perSecond) {
		this.requestLimit = perSecond;
	}

	/**
	 * Adds headers to all subsequent answers, such as that the endpoint is leaving.
	 * @param added the headers
	 */
	public void answerHeaders(Map<String, String> added) {
		this.answerHeaders = Map.copyOf(added);
	}

	/** Says in all answers that the endpoint is leaving, until it restarts. */
	public void leave() {
		this.leaving = true;
	}

	/**
	 * Returns whether the endpoint is leaving.
	 * @return true if all answers say so
	 */
	public boolean leaving() {
		return this.leaving;
	}

	/**
	 * Turns all subsequent requests away and names a time for which the endpoint wants
	 * none.
	 * @param seconds the time in seconds, or 0 to take requests again
	 */
	public void turnAway(double seconds) {
		this.retryAfterSeconds = seconds;
	}

	/**
	 * Sends some plain answers a second time, where the next answer on the connection is
	 * expected.
	 * @param share share of the answers, from 0 to 1
	 */
	public void lateCopies(double share) {
		this.surplusAnswers.copies(share);
	}

	/**
	 * Sends the beginnings of some plain answers, broken off anywhere, beside the
	 * complete ones.
	 * @param moment when a beginning is sent
	 * @param share share of the answers, from 0 to 1
	 */
	public void brokenAnswers(SurplusAnswers.Moment moment, double share) {
		this.surplusAnswers.beginnings(moment, share);
	}

	/**
	 * Answers some requests, which it executes, with a sealed status 500.
	 * @param share share of the requests, from 0 to 1
	 */
	public void errorShare(double share) {
		this.errorShare = share;
	}

	/**
	 * Sets the fault of the version.
	 * @param fault the fault
	 */
	public void versionFault(VersionFault fault) {
		this.versionFault = fault;
	}

	/**
	 * Returns the times at which requests arrived, on the monotonic clock of this
	 * process.
	 * @return times in milliseconds, oldest first
	 */
	public List<Long> arrivalMillis() {
		return this.arrivalMillis;
	}

	/**
	 * Returns what the endpoint did with the requests that have reached it.
	 * @return the traces, oldest first
	 */
	public List<RequestTrace> traces() {
		return List.copyOf(this.traces);
	}

	/**
	 * Makes each request crash the endpoint whose prompt has a segment, unless it is the
	 * last one. After a crash the endpoint restarts under its id.
	 * @param segment id of the segment, or empty for none
	 * @param action run after each restart, to register the endpoint anew
	 */
	public void crashOn(String segment, Runnable action) {
		this.onRestart = action;
		this.crashingSegment = segment;
	}

	/**
	 * Makes each request with a body crash the endpoint as soon as it runs.
	 * @param body the body, or empty for none
	 * @param action run after each restart, to register the endpoint anew
	 */
	public void crashOnBody(String body, Runnable action) {
		this.onRestart = action;
		this.crashingBody = body;
	}

	/** Closes all connections at once, as if the process were killed and restarted. */
	public void crash() {
		this.loop.execute(this::closeConnectionsAndRestart);
	}

	private void closeConnectionsAndRestart() {
		this.crashes.incrementAndGet();
		this.leaving = false;
		this.down = true;
		List.copyOf(this.openConnections).forEach(ServerConnection::close);
		this.loop.delay(RESTART_MILLIS, () -> {
			this.down = false;
			this.startedAt = Math.max(this.startedAt + 1, WallClock.millis());
			this.onRestart.run();
		});
	}

	/**
	 * Crashes, and restarts under the same id and address with other software.
	 * @param newVersion version of the new software
	 * @param action run after the restart, to register the endpoint anew
	 */
	public void restartAs(String newVersion, Runnable action) {
		this.loop.execute(() -> {
			this.streams.version(newVersion);
			this.onRestart = action;
			closeConnectionsAndRestart();
		});
	}

	/**
	 * Returns the number of crashes since the start of the stand-in.
	 * @return the number
	 */
	public int crashes() {
		return this.crashes.get();
	}

	/**
	 * Returns the requests that were executed, with their headers.
	 * @return attempt ids and request headers, oldest first
	 */
	public List<Map.Entry<String, HttpHeaders>> executions() {
		return this.executions;
	}

	/**
	 * Returns the sealed answers to the requests that were executed.
	 * @return attempt ids and status codes, oldest first
	 */
	public List<Map.Entry<String, Integer>> answers() {
		return this.answers;
	}

	/**
	 * Returns the number of open connections.
	 * @return the number
	 */
	public int openConnections() {
		return this.openConnections.size();
	}

	/** Closes all connections and the listener at once, as if the process were killed. */
	public void kill() {
		this.loop.execute(() -> {
			this.loop.getSelector().keys().forEach((key) -> this.loop.closeChannel(key.channel(), key));
			this.loop.keepAlive(false);
			this.loop.breakEventloop();
		});
	}

	@Override
	public void onRequest(ServerConnection connection, ReceivedRequest request) {
		String attemptId = request.headers().get("X-Attempt-Id", "");
		HttpHeaders headers = new DefaultHttpHeaders().set("X-Instance-Id", this.id).set("X-Attempt-Id", attemptId);
		this.surplusAnswers.onRequest(connection);
		if (!this.id.equals(request.headers().get("X-Expect-Instance"))) {
			this.surplusAnswers.respond(connection, MISDIRECTED, headers, new byte[0]);
			return;
		}
		long now = MonotonicClock.millis();
		this.arrivalMillis.add(now);
		RequestTrace trace = new RequestTrace(attemptId, this.crashes.get(), this.leaving, now,
				Long.parseLong(request.headers().get("X-Deadline-Ms", "0")));
		this.traces.add(trace);
		if (trace.leaving()) {
			headers.set("Server-Leaving", "1");
		}
		if (this.requestLimit > 0) {
			headers.set("Server-Limit", Double.toString(this.requestLimit));
		}
		this.answerHeaders.forEach(headers::set);
		ResponseMode mode = this.responseMode.get().of(!this.seenAttempts.add(attemptId));
		double namedSeconds = this.retryAfterSeconds;
		if (namedSeconds > 0) {
			trace.onTurnedAway(Math.round(namedSeconds * MILLIS_PER_SECOND));
			headers.set("Retry-After", Double.toString(namedSeconds));
		}
		if (mode == ResponseMode.SHED || namedSeconds > 0) {
			this.surplusAnswers.respond(connection, UNAVAILABLE, headers.set("X-Not-Executed", "1"), new byte[0]);
			return;
		}
		this.executions.add(Map.entry(attemptId, request.headers()));
		if (mode == ResponseMode.HANG) {
			return;
		}
		if (crashesOn(request)) {
			this.loop.delay(CRASH_DELAY_MILLIS, this::crash);
			return;
		}
		if (mode == ResponseMode.UNSEALED) {
			connection.respond(OK, headers, bytes("unsealed"));
			return;
		}
		headers.set("X-Response-Seal", "seal-" + this.id + "-" + attemptId);
		VersionFault fault = this.versionFault;
		boolean faulty = fault.strikes(request.target(), this.executions.size() - 1, this.random.nextDouble());
		ResponseMode actualMode = (faulty && fault.delayMillis() == 0) ? ResponseMode.ERROR : mode;
		long delayMillis = this.workMillis + (faulty ? fault.delayMillis() : 0);
		if (delayMillis > 0) {
			this.loop.delay(delayMillis, () -> answer(connection, request, headers, actualMode, trace));
		}
		else {
			answer(connection, request, headers, actualMode, trace);
		}
	}

	private void answer(ServerConnection connection, ReceivedRequest request, HttpHeaders headers, ResponseMode mode,
			RequestTrace trace) {
		boolean failed = mode == ResponseMode.ERROR || this.random.nextDouble() < this.errorShare;
		this.answers.add(Map.entry(headers.get("X-Attempt-Id"), failed ? ERROR : OK));
		if (failed) {
			this.surplusAnswers.respond(connection, ERROR, headers, bytes("failed"));
		}
		else if (request.headers().contains("X-Token-Usage")) {
			headers.set("Content-Type", "text/event-stream");
			connection.beginChunked(OK, headers);
			int lastEventId = Integer.parseInt(request.headers().get("Last-Event-Id", "0"));
			this.streams.send(connection, lastEventId, mode, trace);
		}
		else {
			this.surplusAnswers.respond(connection, OK, headers, bytes("answer of " + this.id));
		}
	}

	private boolean crashesOn(ReceivedRequest request) {
		String segment = this.crashingSegment;
		String body = this.crashingBody;
		boolean hasBody = !body.isEmpty() && body.equals(new String(request.body(), StandardCharsets.UTF_8));
		return hasBody || !segment.isEmpty()
				&& request.headers().get("X-Prompt-Prefix", "").matches("(.*,)?" + segment + ":\\d+,.*");
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

	@Override
	public void onRejected(ServerConnection connection, int status) {
	}

	@Override
	public void onClosed(ServerConnection connection) {
		this.openConnections.remove(connection);
		this.surplusAnswers.onClosed(connection);
	}

	/**
	 * How an endpoint responds to requests.
	 */
	public enum ResponseMode {

		/** Executes the request and sends a complete response. */
		NORMAL,

		/** Rejects the request and states that it was not executed. */
		SHED,

		/** Executes the request and never responds. */
		HANG,

		/** Executes the request and responds with status 500. */
		ERROR,

		/** Executes the request and responds without the seal header. */
		UNSEALED,

		/** Closes the connection in the middle of the third event of a stream. */
		TRUNCATE,

		/**
		 * Sends two events whose ids have a control character and closes the connection
		 * in the middle of the third.
		 */
		SPOIL_IDS,

		/** Sends two events of a stream and then nothing, with the connection open. */
		STALL,

		/** Rejects the first dispatch of each request and executes the others. */
		SHED_FIRST {
			@Override
			ResponseMode of(boolean seenBefore) {
				return seenBefore ? NORMAL : SHED;
			}
		},

		/** Responds with status 500 to the first dispatch of each request. */
		ERROR_FIRST {
			@Override
			ResponseMode of(boolean seenBefore) {
				return seenBefore ? NORMAL : ERROR;
			}
		};

		ResponseMode of(boolean seenBefore) {
			return this;
		}

	}

}
