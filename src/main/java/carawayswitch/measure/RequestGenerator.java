package carawayswitch.measure;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Generates the requests of a workload: Poisson arrivals with log-normal lengths. Each
 * stream has its own random generator, so that omitting a stream does not change the
 * others. Stateless.
 */
final class RequestGenerator {

	private static final int MAX_LENGTH_TOKENS = 4000;

	private static final double MILLIS_PER_SECOND = 1000;

	private RequestGenerator() {
	}

	/**
	 * Generates the requests of a workload.
	 * @param workload the workload
	 * @param withFloods false to omit the streams that are floods
	 * @param seed seed of the random numbers
	 * @return the requests in order of arrival
	 */
	static List<Request> generate(Workload workload, boolean withFloods, long seed) {
		List<Request> requests = new ArrayList<>();
		List<RequestStream> streams = workload.streams();
		for (int i = 0; i < streams.size(); i++) {
			if (withFloods || !streams.get(i).flood()) {
				addArrivals(streams.get(i), i, workload.engines(), new SplittableRandom(seed * 31 + i), requests);
			}
		}
		requests.sort(Comparator.comparingLong(Request::arrivalMillis).thenComparingInt(Request::id));
		return requests;
	}

	private static void addArrivals(RequestStream stream, int index, List<EngineModel> engines, SplittableRandom random,
			List<Request> requests) {
		double requestsPerSecond = stream.capacityShare() * requestsPerSecond(stream.kind(), engines);
		double arrivalMillis = stream.startMillis();
		int number = 0;
		while (true) {
			arrivalMillis += -Math.log(1 - random.nextDouble()) * MILLIS_PER_SECOND / requestsPerSecond;
			if (arrivalMillis >= stream.endMillis()) {
				return;
			}
			int id = index * 10_000_000 + number++;
			requests.add(request(stream, id, (long) arrivalMillis, random));
		}
	}

	/**
	 * Returns the rate of requests of mean length at which the engines are at capacity.
	 * @param kind kind of work
	 * @param engines models of the engines
	 * @return requests per second
	 */
	static double requestsPerSecond(WorkKind kind, List<EngineModel> engines) {
		double rate = 0;
		for (EngineModel engine : engines) {
			rate += MILLIS_PER_SECOND / engine.costMillis(kind.promptTokens(), kind.outputTokens());
		}
		return rate;
	}

	private static Request request(RequestStream stream, int id, long arrivalMillis, SplittableRandom random) {
		WorkKind kind = stream.kind();
		String organisation = kind.fleet() + "/" + organisation(stream, random);
		int promptTokens = tokenCount(kind.promptTokens(), stream.lengthLogStdDev(), random);
		int outputTokens = tokenCount(kind.outputTokens(), stream.lengthLogStdDev(), random);
		long prefixHash = (kind.name() + organisation).hashCode() | 1L;
		int prefixTokens = Math.min(promptTokens, kind.promptTokens() / 2);
		return new Request(id, kind, organisation, promptTokens, outputTokens, prefixHash, prefixTokens, arrivalMillis,
				stream.flood());
	}

	private static String organisation(RequestStream stream, SplittableRandom random) {
		if (stream.organisations() == 0) {
			return "large";
		}
		double total = stream.largeFactor() + stream.organisations() - 1;
		double position = random.nextDouble() * total;
		int index = (position < stream.largeFactor()) ? 0 : 1 + (int) (position - stream.largeFactor());
		return "org-" + Math.min(index, stream.organisations() - 1);
	}

	private static int tokenCount(int mean, double logStdDev, SplittableRandom random) {
		double tokens = mean * Math.exp(logStdDev * gaussian(random) - logStdDev * logStdDev / 2);
		return (int) Math.max(1, Math.min(MAX_LENGTH_TOKENS, Math.round(tokens)));
	}

	private static double gaussian(SplittableRandom random) {
		double radius = Math.sqrt(-2 * Math.log(1 - random.nextDouble()));
		return radius * Math.cos(2 * Math.PI * random.nextDouble());
	}

}
