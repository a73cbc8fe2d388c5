package carawayswitch.gateway;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.apache.commons.codec.digest.MurmurHash3;

import carawayswitch.message.PlaceRequest;
import carawayswitch.rollout.VersionGate;
import carawayswitch.route.EndpointEntry;
import carawayswitch.route.EndpointTable;
import carawayswitch.schedule.EligibleVersions;

/**
 * Chooses the versions for the place requests of engine pools while versions are rolled
 * out, and remembers the requests that wait, since their versions may change. Confined to
 * its {@link PoolOwner}. Times are monotonic milliseconds.
 */
final class VersionedPlaces {

	private static final double HASH_RANGE = 4_294_967_296.0;

	/**
	 * Time for which a version serves after the latest request for the rest of a stream.
	 */
	private static final long RESUMED_MILLIS = 15_000;

	/** Time until which streams are resumed at each version, by service and version. */
	private final Map<String, Map<String, Long>> resumed = new HashMap<>();

	private VersionGate gate = VersionGate.OFF;

	private EndpointTable endpoints = EndpointTable.EMPTY;

	private final Map<String, Waiting> waiting = new HashMap<>();

	/** Requests with a place at a target, or waiting for one, with the service. */
	private final Map<String, String> atTarget = new HashMap<>();

	void endpoints(EndpointTable newEndpoints) {
		this.endpoints = newEndpoints;
	}

	void gate(VersionGate newGate) {
		this.gate = newGate;
	}

	/**
	 * Returns the engines of a service that take part.
	 * @param service name of the service
	 * @param now current time
	 * @return the engines
	 */
	List<EndpointEntry> engines(String service, long now) {
		Set<String> resumed = this.resumed.getOrDefault(service, Map.of())
			.entrySet()
			.stream()
			.filter((entry) -> now < entry.getValue())
			.map(Map.Entry::getKey)
			.collect(Collectors.toSet());
		return ExposedEndpoints.of(service, this.endpoints.accepting(service), this.gate, resumed, now);
	}

	/**
	 * Records a request for the rest of a stream, whose version serves for it.
	 * @param request the request
	 * @param now current time
	 * @return true if the engines that take part may have changed
	 */
	boolean onResumed(PlaceRequest request, long now) {
		if (request.version().isEmpty() || this.gate.open(request.service())) {
			return false;
		}
		Long until = this.resumed.computeIfAbsent(request.service(), (service) -> new HashMap<>())
			.put(request.version(), now + RESUMED_MILLIS);
		return until == null || now >= until;
	}

	/**
	 * Chooses the versions for a request that may begin at several.
	 * @param request the request
	 * @param begin versions at which its stream may begin, or null for any
	 * @param now current time
	 * @return the versions
	 */
	EligibleVersions eligible(PlaceRequest request, Set<String> begin, long now) {
		String service = request.service();
		boolean open = this.gate.open(service);
		if (open && begin == null) {
			return EligibleVersions.ANY;
		}
		Set<String> serving = engines(service, now).stream().map(EndpointEntry::version).collect(Collectors.toSet());
		if (open) {
			return begin.containsAll(serving) ? EligibleVersions.ANY : EligibleVersions.of(begin);
		}
		Set<String> allowed = new HashSet<>(serving);
		if (begin != null) {
			allowed.retainAll(begin);
		}
		boolean repeat = !request.requestId().endsWith("#0") || targetFull(service, now);
		allowed = this.gate.beginVersions(service, allowed, draw(request.requestId()), repeat, now);
		if (!allowed.isEmpty() && allowed.stream().allMatch((version) -> partlyExposed(service, version, now))) {
			this.atTarget.put(request.requestId(), service);
		}
		else {
			this.atTarget.remove(request.requestId());
		}
		return allowed.containsAll(serving) ? EligibleVersions.ANY : EligibleVersions.of(allowed);
	}

	private boolean partlyExposed(String service, String version, long now) {
		double exposure = this.gate.exposure(service, version, Set.of(), now);
		return exposure > 0 && exposure < 1;
	}

	// Whether the target's engines are all taken, so that a request would wait although
	// other versions may have room.
	private boolean targetFull(String service, long now) {
		int slots = engines(service, now).stream()
			.filter((engine) -> partlyExposed(service, engine.version(), now))
			.mapToInt(EndpointEntry::slots)
			.sum();
		return this.atTarget.values().stream().filter(service::equals).count() >= slots;
	}

	// One draw per request: its attempts differ only in the number at the end.
	private static double draw(String attempt) {
		int end = attempt.lastIndexOf('#');
		byte[] request = ((end < 0) ? attempt : attempt.substring(0, end)).getBytes(StandardCharsets.UTF_8);
		return Integer.toUnsignedLong(MurmurHash3.hash32x86(request)) / HASH_RANGE;
	}

	void onOffered(String host, PlaceRequest request, EligibleVersions versions, long arrivedAt) {
		this.waiting.put(request.requestId(), new Waiting(host, request, versions, arrivedAt));
	}

	void onDecided(String id) {
		this.waiting.remove(id);
	}

	void onEnded(String id) {
		this.waiting.remove(id);
		this.atTarget.remove(id);
	}

	void clear() {
		this.waiting.clear();
		this.atTarget.clear();
	}

	/**
	 * Returns the waiting requests that may begin at a version at which none may begin
	 * any more, in the order of their arrival.
	 * @param now current time
	 * @return the requests
	 */
	List<Waiting> outdated(long now) {
		List<Waiting> outdated = new ArrayList<>();
		Map<String, Boolean> restricted = new HashMap<>();
		for (Waiting entry : this.waiting.values()) {
			String service = entry.request.service();
			boolean bound = !entry.request.version().isEmpty();
			boolean changed = entry.versions.any()
					? !this.gate.open(service) && restricted.computeIfAbsent(service, (name) -> restricted(name, now))
					: entry.versions.names().stream().anyMatch((version) -> !this.gate.mayBegin(service, version, now));
			if (!bound && changed) {
				outdated.add(entry);
			}
		}
		outdated.sort(Comparator.comparingLong(Waiting::offeredAt));
		return outdated;
	}

	private boolean restricted(String service, long now) {
		return engines(service, now).stream()
			.anyMatch((engine) -> partlyExposed(service, engine.version(), now)
					|| !this.gate.mayBegin(service, engine.version(), now));
	}

	/**
	 * Place request that waits. Immutable.
	 *
	 * @param host id of the requesting host
	 * @param request the request
	 * @param versions versions at which it may begin
	 * @param offeredAt time of its arrival
	 */
	record Waiting(String host, PlaceRequest request, EligibleVersions versions, long offeredAt) {

	}

}
