package carawayswitch.gateway;

import java.util.Optional;
import java.util.function.LongConsumer;

import carawayswitch.http.ReceivedRequest;
import carawayswitch.route.Route;
import carawayswitch.route.RouteTable;

/**
 * Wait of one request for the first reads of the store by a starting host. Invariant: of
 * the reads and the time limit, only the first one ends a wait. Confined to the event
 * loop thread.
 */
final class StartupWait {

	private final GatewayContext context;

	private final ExchangeTasks tasks;

	private final ReceivedRequest request;

	private final RequestMetadata metadata;

	private final LongConsumer onEnded;

	/** Number of the latest wait; the ends of others have no effect. */
	private long latestHold;

	/**
	 * Creates a wait that has not begun.
	 * @param context state of the host
	 * @param tasks tasks of the exchange
	 * @param request the request
	 * @param metadata its decoded headers
	 * @param onEnded receives the monotonic time in milliseconds at which a wait ends
	 */
	StartupWait(GatewayContext context, ExchangeTasks tasks, ReceivedRequest request, RequestMetadata metadata,
			LongConsumer onEnded) {
		this.context = context;
		this.tasks = tasks;
		this.request = request;
		this.metadata = metadata;
		this.onEnded = onEnded;
	}

	/**
	 * Lets the request wait for the first reads of the store if they are expected to end
	 * soon enough. Without quarantine rules it must not be sent before the time for
	 * reading them is over.
	 * @param now monotonic time in milliseconds
	 * @return false if the request does not wait
	 */
	boolean tryBegin(long now) {
		RouteTable routes = this.context.routes.get();
		long budgetMillis = (routes != null && this.context.endpointsLoaded) ? StartupHold.MAX_MILLIS
				: StartupHold.budgetMillis(this.metadata.waitLimitMillis(), objectiveMillis(routes));
		long waitedMillis = now - this.request.arrivedAt();
		if (!StartupHold.holds(waitedMillis, forecastMillis(this.context), budgetMillis)) {
			return false;
		}
		long number = ++this.latestHold;
		Runnable end = () -> {
			if (number == this.latestHold) {
				this.latestHold++;
				this.onEnded.accept(Clocks.monotonicMillis());
			}
		};
		this.context.startup.await(() -> this.tasks.run(end));
		this.tasks.delay(budgetMillis - waitedMillis, end);
		return true;
	}

	private long objectiveMillis(RouteTable routes) {
		return Optional.ofNullable(routes)
			.flatMap((table) -> table.match(this.metadata.hostHeader(), this.request.path()))
			.map(Route::objectiveMillis)
			.orElse(-1L);
	}

	private static long forecastMillis(GatewayContext context) {
		long forecastMillis = context.startup.forecastMillis();
		boolean noConfiguration = forecastMillis == 0 && context.routes.get() == null;
		return noConfiguration ? StartupHold.NO_CONFIGURATION_MILLIS : forecastMillis;
	}

	/**
	 * Returns the retry time of a request that a starting host refuses.
	 * @param context state of the host
	 * @return time in milliseconds
	 */
	static long retryMillis(GatewayContext context) {
		return StartupHold.retryMillis(forecastMillis(context), context.random.nextDouble());
	}

}
