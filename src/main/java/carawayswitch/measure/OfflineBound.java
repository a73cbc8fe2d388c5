package carawayswitch.measure;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Upper bound on the tokens that the engines can generate for a set of requests. Assumes
 * that all lengths are known, no prompt is processed twice, the prefix of each prompt is
 * cached and batches are always full. Takes the requests with the lowest cost per output
 * token first. Stateless.
 */
final class OfflineBound {

	private OfflineBound() {
	}

	static double maxTokens(Workload workload, List<Request> requests) {
		double capacityMillis = Workload.END_MILLIS * workload.engines().size();
		double totalRelativeSpeed = 0;
		for (EngineModel engine : workload.engines()) {
			totalRelativeSpeed += relativeSpeed(engine);
		}
		capacityMillis *= totalRelativeSpeed / workload.engines().size();
		List<Request> byCostPerToken = new ArrayList<>(requests);
		byCostPerToken.sort(Comparator.comparingDouble(OfflineBound::millisPerOutputToken));
		double tokens = 0;
		double usedMillis = 0;
		for (Request request : byCostPerToken) {
			double costMillis = costMillis(request);
			if (usedMillis + costMillis > capacityMillis) {
				return tokens;
			}
			usedMillis += costMillis;
			tokens += request.outputTokens();
		}
		return tokens;
	}

	private static double relativeSpeed(EngineModel engine) {
		return EngineModel.NEW.costMillis(0, 1) / engine.costMillis(0, 1);
	}

	private static double costMillis(Request request) {
		int uncachedTokens = request.promptTokens() - request.prefixTokens();
		return EngineModel.NEW.costMillis(uncachedTokens, request.outputTokens());
	}

	private static double millisPerOutputToken(Request request) {
		return costMillis(request) / request.outputTokens();
	}

}
