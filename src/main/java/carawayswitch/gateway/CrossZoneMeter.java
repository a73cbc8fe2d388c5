package carawayswitch.gateway;

import java.util.Map;
import java.util.function.Supplier;

import carawayswitch.http.OutgoingRequest;
import carawayswitch.message.Message;
import carawayswitch.metrics.HostMetrics;
import carawayswitch.metrics.Metric;
import carawayswitch.route.EndpointEntry;
import carawayswitch.schedule.AttemptResult;

/**
 * Counts the requests, messages and bytes between this host and other zones, by use,
 * while the policy of traffic between zones is on. Bytes are those of bodies, heads of
 * requests and frames, without those of the protocols below. Confined to the event loop
 * thread.
 */
final class CrossZoneMeter {

	/** Bytes of a header besides its name and value. */
	private static final int HEADER_OVERHEAD = 4;

	/** Bytes of a request line besides method and target. */
	private static final int LINE_OVERHEAD = 12;

	private final Supplier<GatewaySettings> settings;

	private final HostMetrics metrics;

	CrossZoneMeter(Supplier<GatewaySettings> settings, HostMetrics metrics) {
		this.settings = settings;
		this.metrics = metrics;
	}

	static long bytes(OutgoingRequest request) {
		long bytes = LINE_OVERHEAD + request.method().length() + request.target().length() + request.body().length;
		for (Map.Entry<String, String> header : request.headers()) {
			bytes += header.getKey().length() + header.getValue().length() + HEADER_OVERHEAD;
		}
		return bytes;
	}

	/**
	 * Records an attempt that has ended.
	 * @param endpoint its endpoint
	 * @param result its result; one that did not reach the endpoint counts nothing
	 * @param requestBytes bytes of the request
	 * @param answerBytes bytes of the body of the answer
	 */
	void onAttempt(EndpointEntry endpoint, AttemptResult result, long requestBytes, long answerBytes) {
		if (result != AttemptResult.UNREACHABLE && crosses(endpoint.zone())) {
			count(ZoneUse.REQUESTS, requestBytes);
			count(ZoneUse.ANSWERS, answerBytes);
		}
	}

	/**
	 * Records a message that is sent to another host.
	 * @param zone zone of the host, or empty if it is not known
	 * @param message the message
	 * @param bytes bytes of its frame
	 */
	void onMessage(String zone, Message message, int bytes) {
		if (!zone.isEmpty() && crosses(zone)) {
			count(ZoneUse.of(message), bytes);
		}
	}

	private boolean crosses(String zone) {
		GatewaySettings current = this.settings.get();
		return current.zoneTraffic() != null && !current.zone().equals(zone);
	}

	private void count(ZoneUse use, long bytes) {
		this.metrics.add(Metric.CROSS_ZONE_REQUESTS, 1, "use", use.label());
		this.metrics.add(Metric.CROSS_ZONE_BYTES, bytes, "use", use.label());
	}

}
