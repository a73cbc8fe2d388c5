package carawayswitch.standin;

import java.nio.charset.StandardCharsets;
import java.util.function.Predicate;

import io.activej.eventloop.Eventloop;

import carawayswitch.http.ServerConnection;
import carawayswitch.time.MonotonicClock;

/**
 * Streams of events that a stand-in sends, each event after an interval and named after
 * the version of its software. Settings may be changed by any thread; streams run on the
 * thread of the event loop.
 */
public final class EventStreams {

	/** Number of events in a complete stream. */
	public static final int EVENTS_PER_STREAM = 5;

	private final Eventloop loop;

	private final Predicate<ServerConnection> open;

	private volatile String version;

	private volatile long intervalMillis = 5;

	private volatile long silentUntil;

	/**
	 * Creates streams.
	 * @param loop the event loop
	 * @param version version of the software
	 * @param open tells whether a connection is open
	 */
	EventStreams(Eventloop loop, String version, Predicate<ServerConnection> open) {
		this.loop = loop;
		this.version = version;
		this.open = open;
	}

	String version() {
		return this.version;
	}

	void version(String newVersion) {
		this.version = newVersion;
	}

	void intervalMillis(long millis) {
		this.intervalMillis = millis;
	}

	void silence(long millis) {
		this.silentUntil = MonotonicClock.millis() + millis;
	}

	/**
	 * Sends the events that follow the last one that a client has received. Modes that
	 * break a stream do so after two events.
	 * @param connection connection on which a chunked answer has begun
	 * @param lastEvent number of the last event received, or 0
	 * @param mode how the endpoint responds
	 * @param trace told when the stream is complete
	 */
	void send(ServerConnection connection, int lastEvent, EndpointStandIn.ResponseMode mode, RequestTrace trace) {
		send(connection, lastEvent + 1, mode, lastEvent + 2, trace);
	}

	// Modes other than TRUNCATE, SPOIL_IDS and STALL ignore the last complete event.
	private void send(ServerConnection connection, int nextEvent, EndpointStandIn.ResponseMode mode,
			int lastCompleteEvent, RequestTrace trace) {
		if (!this.open.test(connection)) {
			return;
		}
		long silentMillis = this.silentUntil - MonotonicClock.millis();
		if (silentMillis > 0) {
			this.loop.delay(silentMillis, () -> send(connection, nextEvent, mode, lastCompleteEvent, trace));
			return;
		}
		boolean spoiled = mode == EndpointStandIn.ResponseMode.SPOIL_IDS;
		boolean afterLastComplete = nextEvent > lastCompleteEvent;
		if (nextEvent > EVENTS_PER_STREAM) {
			trace.onEnded(MonotonicClock.millis());
			connection.endChunked();
		}
		else if ((mode == EndpointStandIn.ResponseMode.TRUNCATE || spoiled) && afterLastComplete) {
			connection.writeChunk(bytes("id: " + nextEvent + "\nda"));
			this.loop.delay(this.intervalMillis, connection::close);
		}
		else if (mode != EndpointStandIn.ResponseMode.STALL || !afterLastComplete) {
			String event = event(nextEvent, this.version);
			connection.writeChunk(bytes(spoiled ? event.replace("id: ", "id: a\u0001") : event));
			this.loop.delay(this.intervalMillis, () -> send(connection, nextEvent + 1, mode, lastCompleteEvent, trace));
		}
	}

	private static String event(int number, String version) {
		return "id: " + number + "\ndata: token" + number + " of " + version + "\n\n";
	}

	/**
	 * Returns the events of a stream that one version writes.
	 * @param version version of the software
	 * @param from number of the first event, from 1
	 * @param to number of the last event
	 * @return the events as sent
	 */
	public static String events(String version, int from, int to) {
		StringBuilder text = new StringBuilder();
		for (int number = from; number <= to; number++) {
			text.append(event(number, version));
		}
		return text.toString();
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

}
