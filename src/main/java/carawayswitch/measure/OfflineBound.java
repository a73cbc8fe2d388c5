package carawayswitch.measure;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The most tokens that the engines can generate for requests, if every length were known,
 * no prompt were processed twice and engines were always full. Stateless.
 */
final class OfflineBound {

	private OfflineBound() {
	}

	static double tokens(Workload workload, List<Request> requests) {
		double capacityMillis = Workload.END * workload.engines().size();
		double speed = 0;
		for (EngineModel engine : workload.engines()) {
			speed += relativeSpeed(engine);
		}
		capacityMillis *= speed / workload.engines().size();
		List<Request> cheapest = new ArrayList<>(requests);
		cheapest.sort(Comparator.comparingDouble(OfflineBound::costPerToken));
		double tokens = 0;
		double used = 0;
		for (Request request : cheapest) {
			double cost = cost(request);
			if (used + cost > capacityMillis) {
				return tokens;
			}
			used += cost;
			tokens += request.outputTokens();
		}
		return tokens;
	}

	private static double relativeSpeed(EngineModel engine) {
		return EngineModel.NEW.costMillis(0, 1) / engine.costMillis(0, 1);
	}

	private static double cost(Request request) {
		int uncached = request.promptTokens() - request.prefixTokens();
		return EngineModel.NEW.costMillis(uncached, request.outputTokens());
	}

	private static double costPerToken(Request request) {
		return cost(request) / request.outputTokens();
	}

}
