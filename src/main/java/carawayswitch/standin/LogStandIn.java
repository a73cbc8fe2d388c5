package carawayswitch.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.common.function.RunnableEx;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;

import carawayswitch.http.Json;

/**
 * Stand-in for the platform's log, with faults. Safe for use by several threads.
 *
 * <pre>
 * POST /streams/{stream}                     appends the body, answers {"offset": N}
 * GET  /streams/{stream}?from=N&amp;limit=M      reads records
 * POST /control?mode=up|down|lose-replies|slow
 * </pre>
 */
public final class LogStandIn {

	private static final int MAX_BODY_BYTES = 64 * 1024 * 1024;

	private static final long SLOW_RESPONSE_DELAY_MILLIS = 1000;

	private static final int UNAVAILABLE = 503;

	private final Map<String, LogStream> streams = new HashMap<>();

	private final int retainedRecords;

	private StandInServer server;

	private volatile Mode mode = Mode.UP;

	private LogStandIn(int retainedRecords) {
		this.retainedRecords = retainedRecords;
	}

	/**
	 * Starts a stand-in.
	 * @param address address of the listener; port 0 lets the system choose one
	 * @param retainedRecords number of records that each stream keeps
	 * @return the running stand-in
	 * @throws IOException if the address cannot be bound
	 */
	public static LogStandIn start(InetSocketAddress address, int retainedRecords) throws IOException {
		LogStandIn standIn = new LogStandIn(retainedRecords);
		standIn.server = StandInServer.start("log", address, (loop) -> (request) -> standIn.serve(loop, request));
		return standIn;
	}

	private Promise<HttpResponse> serve(Eventloop loop, HttpRequest request) {
		if (request.getPath().equals("/control")) {
			this.mode = Mode.valueOf(request.getQueryParameter("mode").toUpperCase().replace('-', '_'));
			return StandInServer.json(200, Json.bytes(Json.object().put("mode", this.mode.name())));
		}
		if (this.mode == Mode.DOWN) {
			return StandInServer.json(UNAVAILABLE, new byte[0]);
		}
		long delay = (this.mode == Mode.SLOW) ? SLOW_RESPONSE_DELAY_MILLIS : 0;
		String name = request.getPath().substring("/streams/".length());
		LogStream stream = this.streams.computeIfAbsent(name, (key) -> new LogStream());
		if (request.getMethod() == HttpMethod.POST) {
			return request.loadBody(MAX_BODY_BYTES)
				.then((body) -> StandInServer.delayed(loop, delay, append(stream, body.getArray())));
		}
		return StandInServer.delayed(loop, delay, read(stream, request));
	}

	private Promise<HttpResponse> append(LogStream stream, byte[] payload) {
		stream.records.add(payload);
		long offset = stream.firstOffset + stream.records.size() - 1;
		while (stream.records.size() > this.retainedRecords) {
			stream.records.remove(0);
			stream.firstOffset++;
		}
		return (this.mode == Mode.LOSE_REPLIES) ? StandInServer.json(UNAVAILABLE, new byte[0])
				: StandInServer.json(200, Json.bytes(Json.object().put("offset", offset)));
	}

	private static Promise<HttpResponse> read(LogStream stream, HttpRequest request) {
		long fromOffset = Math.max(stream.firstOffset, Long.parseLong(request.getQueryParameter("from")));
		int limit = Integer.parseInt(request.getQueryParameter("limit"));
		long nextOffset = stream.firstOffset + stream.records.size();
		ObjectNode page = Json.object().put("first", stream.firstOffset).put("next", nextOffset);
		ArrayNode records = page.putArray("records");
		for (long offset = fromOffset; offset < Math.min(nextOffset, fromOffset + limit); offset++) {
			byte[] payload = stream.records.get((int) (offset - stream.firstOffset));
			records.addObject().put("offset", offset).put("payload", Base64.getEncoder().encodeToString(payload));
		}
		return StandInServer.json(200, Json.bytes(page));
	}

	/**
	 * Sets the fault.
	 * @param newMode the fault
	 */
	public void mode(Mode newMode) {
		this.mode = newMode;
	}

	/**
	 * Appends a record directly.
	 * @param stream name of the stream
	 * @param payload the record
	 */
	public void append(String stream, byte[] payload) {
		RunnableEx append = () -> append(this.streams.computeIfAbsent(stream, (key) -> new LogStream()), payload);
		this.server.loop().submit(append).join();
	}

	/**
	 * Returns the number of records that were appended to a stream.
	 * @param stream name of the stream
	 * @return number of records
	 */
	public long appendedRecords(String stream) {
		long[] count = new long[1];
		this.server.loop().submit(() -> {
			LogStream logStream = this.streams.get(stream);
			count[0] = (logStream != null) ? logStream.firstOffset + logStream.records.size() : 0;
		}).join();
		return count[0];
	}

	/**
	 * Returns the base URL.
	 * @return the URL
	 */
	public String url() {
		return this.server.url();
	}

	/**
	 * Stops the stand-in.
	 */
	public void stop() {
		this.server.stop();
	}

	/**
	 * Faults of the log.
	 */
	public enum Mode {

		/** Works. */
		UP,

		/** Refuses every call. */
		DOWN,

		/** Appends, but loses the answers to appends. */
		LOSE_REPLIES,

		/** Answers late. */
		SLOW

	}

	private static final class LogStream {

		private final List<byte[]> records = new ArrayList<>();

		private long firstOffset;

	}

}
