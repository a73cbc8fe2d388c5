package carawayswitch.gateway;

import carawayswitch.message.EngineReplaced;
import carawayswitch.route.EndpointEntry;
import carawayswitch.schedule.AttemptResult;
import carawayswitch.schedule.StreamStats;
import carawayswitch.schedule.TwoChoicesBalancer;

/**
 * Reports the course of an attempt to those who choose endpoints: the owner of the pools
 * for engines, this host for plain services. Confined to the event loop thread.
 */
interface AttemptReporter {

	/**
	 * Returns whether the owner of the pools has granted a place to the attempt.
	 * @return false if this host alone has chosen the endpoint
	 */
	boolean placed();

	/**
	 * Reports that the attempt is sent.
	 * @param now monotonic time in milliseconds
	 */
	default void onSent(long now) {
	}

	/**
	 * Reports the head of the response.
	 * @param requestLimit requests per second that the endpoint names as its limit, or 0
	 * @param now monotonic time in milliseconds
	 */
	void onHead(double requestLimit, long now);

	/**
	 * Reports the first event of a stream.
	 * @param millis time since the attempt was sent in milliseconds
	 */
	default void onFirstEvent(long millis) {
	}

	/**
	 * Reports that another endpoint has answered at the address of the endpoint.
	 * @param endpoint the endpoint that was expected
	 */
	void onReplaced(EndpointEntry endpoint);

	/**
	 * Reports that a stream has stalled or goes on.
	 * @param stalled false if it goes on
	 */
	default void onStalled(boolean stalled) {
	}

	/**
	 * Reports the end of the attempt.
	 * @param result result of the attempt
	 * @param stats length and timing of its stream, without the number of tokens
	 * @param events number of events
	 * @param disconnected true if the endpoint closed the connection before the response
	 * was complete
	 * @param now monotonic time in milliseconds
	 */
	void onEnded(AttemptResult result, StreamStats stats, int events, boolean disconnected, long now);

	/**
	 * Reports an attempt at an engine to the owner of the pools. Confined to the event
	 * loop thread.
	 *
	 * @param context state of the host
	 * @param placement the place of the attempt
	 * @param tokensPerEvent number of tokens in an event
	 */
	record ForEngine(GatewayContext context, Placement placement, int tokensPerEvent) implements AttemptReporter {

		@Override
		public boolean placed() {
			return true;
		}

		@Override
		public void onHead(double requestLimit, long now) {
			this.context.placements.onHead(this.placement, requestLimit);
		}

		@Override
		public void onFirstEvent(long millis) {
			this.context.placements.firstEvent(this.placement, millis);
		}

		@Override
		public void onReplaced(EndpointEntry endpoint) {
			this.context.placements.sendToOwner(new EngineReplaced(endpoint.service(), endpoint.start()));
		}

		@Override
		public void onStalled(boolean stalled) {
			this.context.placements.stalled(this.placement, stalled);
		}

		@Override
		public void onEnded(AttemptResult result, StreamStats stats, int events, boolean disconnected, long now) {
			int tokens = events * this.tokensPerEvent;
			this.context.placements.release(this.placement, result,
					new StreamStats(tokens, stats.streamMillis(), stats.longestPauseMillis()), disconnected);
			if (result == AttemptResult.ANSWERED) {
				this.context.lengthEstimator.onFinished(this.placement.kind(), this.placement.organisation(), tokens);
			}
		}

	}

	/**
	 * Reports an attempt at an endpoint of a plain service to the balancer and the crash
	 * detection of this host. Confined to the event loop thread.
	 *
	 * @param context state of the host
	 * @param endpoint the endpoint
	 * @param attempt id of the attempt
	 * @param identity identity of the request
	 */
	record ForPlainService(GatewayContext context, EndpointEntry endpoint, String attempt,
			String identity) implements AttemptReporter {

		@Override
		public boolean placed() {
			return false;
		}

		// Each host learns of it by its own backoff.
		@Override
		public void onReplaced(EndpointEntry replaced) {
		}

		private TwoChoicesBalancer balancer() {
			return this.context.balancer(this.endpoint.service());
		}

		@Override
		public void onSent(long now) {
			this.context.zoneTraffic.onSent(this.endpoint, this.attempt, now);
			this.context.placements.plainCrashes().onSent(this.attempt, this.endpoint, this.identity, now);
		}

		@Override
		public void onHead(double requestLimit, long now) {
			balancer().onAnswerBegun(this.endpoint.id(), this.attempt, requestLimit, this.context.random, now);
		}

		@Override
		public void onEnded(AttemptResult result, StreamStats stats, int events, boolean disconnected, long now) {
			balancer().onEnded(this.endpoint.id(), this.attempt, result, now);
			this.context.zoneTraffic.onEnded(this.endpoint, this.attempt, result == AttemptResult.ANSWERED, now);
			// An endpoint that is leaving closes connections without a crash.
			boolean crashed = disconnected && this.context.endpoints.get().acceptingById(this.endpoint.id()) != null;
			this.context.placements.plainCrashes().onEnded(this.attempt, this.identity, result, crashed, now);
		}

	}

}
