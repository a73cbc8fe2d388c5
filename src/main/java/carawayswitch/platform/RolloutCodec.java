package carawayswitch.platform;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Try;

import carawayswitch.gateway.RolloutStatus;
import carawayswitch.http.Json;
import carawayswitch.rollout.RolloutOrder;
import carawayswitch.rollout.RolloutProgress;
import carawayswitch.rollout.RolloutState;

/**
 * Codec of the JSON records about rollouts. Stateless.
 */
final class RolloutCodec {

	private static final double MILLIS_PER_SECOND = 1000;

	private RolloutCodec() {
	}

	/**
	 * Decodes an order. The key of the record names the service.
	 * @param service name of the service
	 * @param bytes value of the record
	 * @return the order; a failure if a field is missing or not valid
	 */
	static Try<RolloutOrder> decodeOrder(String service, byte[] bytes) {
		return Json.parse(bytes).mapTry((tree) -> {
			double seconds = tree.path("duration-s").asDouble();
			if (!(seconds > 0)) {
				throw new PlatformException("\"duration-s\" is " + tree.path("duration-s") + "; valid: above 0");
			}
			return new RolloutOrder(service, text(tree, "target"), Math.round(seconds * MILLIS_PER_SECOND));
		});
	}

	static byte[] encode(RolloutProgress progress) {
		ObjectNode value = Json.object()
			.put("rollout", progress.rollout())
			.put("target", progress.target())
			.put("duration-ms", progress.durationMillis())
			.put("state", progress.state().label())
			.put("step", progress.step())
			.put("revision", progress.revision())
			.put("started-at", progress.startedWallMillis())
			.put("step-at", progress.stepWallMillis())
			.put("elapsed-ms", progress.elapsedMillis())
			.put("author", progress.author());
		value.put("store-epoch", progress.history().storeEpoch());
		progress.history().durations().forEach(value.putObject("earlier-ms")::put);
		ArrayNode exposures = value.putArray("exposures");
		progress.exposures()
			.forEach((process, exposure) -> exposures.addObject()
				.put("process", process)
				.put("sent", exposure.sent())
				.put("requests", exposure.requests()));
		progress.replaced().forEach(value.putArray("replaced")::add);
		progress.retired().forEach(value.putArray("retired")::add);
		return Json.bytes(value);
	}

	static Try<RolloutProgress> decodeProgress(String service, byte[] bytes) {
		return Json.parse(bytes)
			.mapTry((tree) -> new RolloutProgress(service, tree.path("rollout").asLong(), text(tree, "target"),
					tree.path("duration-ms").asLong(), state(tree), tree.path("step").asInt(),
					tree.path("revision").asLong(), tree.path("started-at").asLong(), tree.path("step-at").asLong(),
					tree.path("elapsed-ms").asLong(), texts(tree.path("replaced")), texts(tree.path("retired")),
					tree.path("author").asText(), exposures(tree.path("exposures")), history(tree)));
	}

	private static RolloutProgress.History history(JsonNode tree) {
		Map<String, Long> durations = new HashMap<>();
		tree.path("earlier-ms")
			.fields()
			.forEachRemaining((item) -> durations.put(item.getKey(), item.getValue().asLong()));
		return new RolloutProgress.History(tree.path("store-epoch").asLong(), Map.copyOf(durations));
	}

	private static Map<String, RolloutProgress.Exposure> exposures(JsonNode array) {
		Map<String, RolloutProgress.Exposure> exposures = new HashMap<>();
		array.forEach((item) -> exposures.put(item.path("process").asText(),
				new RolloutProgress.Exposure(item.path("sent").asLong(), item.path("requests").asLong())));
		return Map.copyOf(exposures);
	}

	static byte[] encode(RolloutStatus status) {
		return Json.bytes(Json.object().put("state", status.state().label()).put("target", status.target()));
	}

	static Try<RolloutStatus> decodeStatus(byte[] bytes) {
		return Json.parse(bytes).mapTry((tree) -> new RolloutStatus(state(tree), text(tree, "target")));
	}

	private static RolloutState state(JsonNode tree) throws PlatformException {
		String label = text(tree, "state");
		return RolloutState.of(label)
			.orElseThrow(() -> new PlatformException(
					"\"state\" is \"" + label + "\"; valid: running, completed, rolled_back"));
	}

	private static Set<String> texts(JsonNode array) {
		Set<String> texts = new HashSet<>();
		array.forEach((item) -> texts.add(item.asText()));
		return Set.copyOf(texts);
	}

	private static String text(JsonNode tree, String field) throws PlatformException {
		return EndpointDecoder.text(tree, field);
	}

}
