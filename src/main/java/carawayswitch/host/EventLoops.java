package carawayswitch.host;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.activej.eventloop.Eventloop;

import carawayswitch.dispatch.EndpointOwners;
import carawayswitch.http.OutboundHttpClient;
import carawayswitch.log.DecisionLog;
import carawayswitch.log.LogEvent;
import carawayswitch.settings.Settings;
import carawayswitch.time.MonotonicClock;

/**
 * Event loops of a host, each on its own thread: one for control tasks and connections
 * between hosts, the others for callers and endpoints. Immutable.
 *
 * @param control the control loop
 * @param platformHttpClient HTTP client of the control loop
 * @param endpointLoops event loops for callers and endpoints
 * @param log log of the HTTP clients
 */
record EventLoops(Eventloop control, OutboundHttpClient platformHttpClient, List<EndpointOwners.Loop> endpointLoops,
		DecisionLog log) {

	private static final long MAX_LOG_LINES_PER_SECOND = 100;

	static EventLoops start(Settings settings) {
		Eventloop control = startLoop(settings.host().id() + "-control");
		DecisionLog log = new DecisionLog(MAX_LOG_LINES_PER_SECOND, MonotonicClock::millis);
		OutboundHttpClient platformHttpClient = new OutboundHttpClient(control, MonotonicClock::millis, log,
				settings.endpoint().connectTimeout(), settings.platform().callTimeout());
		List<EndpointOwners.Loop> endpointLoops = new ArrayList<>();
		for (int i = 0; i < settings.host().threads(); i++) {
			Eventloop loop = startLoop(settings.host().id() + "-" + i);
			endpointLoops.add(new EndpointOwners.Loop(loop, new OutboundHttpClient(loop, MonotonicClock::millis, log,
					settings.endpoint().connectTimeout(), settings.endpoint().silenceTimeout())));
		}
		return new EventLoops(control, platformHttpClient, List.copyOf(endpointLoops), log);
	}

	private static Eventloop startLoop(String name) {
		Eventloop loop = Eventloop.builder()
			.withTimeProvider(MonotonicClock::millis)
			.withFatalErrorHandler((failure, context) -> LogEvent.INTERNAL_ERROR.log("reason", failure, "context",
					context, "cause", failure.getCause(), "at",
					(failure.getStackTrace().length > 0) ? failure.getStackTrace()[0] : ""))
			.build();
		loop.keepAlive(true);
		Thread thread = new Thread(loop, name);
		thread.setDaemon(true);
		thread.start();
		return loop;
	}

	void stop() {
		this.control.execute(() -> this.control.keepAlive(false));
		for (EndpointOwners.Loop loop : this.endpointLoops) {
			loop.reactor().execute(() -> ((Eventloop) loop.reactor()).keepAlive(false));
		}
		this.log.close();
	}

	CompletableFuture<Void> freeze(Duration duration) {
		List<CompletableFuture<Void>> sleeps = new ArrayList<>();
		sleeps.add(this.control.submit(() -> Thread.sleep(duration.toMillis())));
		this.endpointLoops
			.forEach((loop) -> sleeps.add(loop.reactor().submit(() -> Thread.sleep(duration.toMillis()))));
		return CompletableFuture.allOf(sleeps.toArray(CompletableFuture[]::new));
	}

	void kill() {
		this.log.close();
		closeChannels(this.control);
		this.endpointLoops.forEach((loop) -> closeChannels((Eventloop) loop.reactor()));
	}

	private static void closeChannels(Eventloop loop) {
		loop.execute(() -> {
			if (loop.getSelector() != null) {
				loop.getSelector().keys().forEach((key) -> loop.closeChannel(key.channel(), key));
			}
			loop.keepAlive(false);
			loop.breakEventloop();
		});
	}

}
