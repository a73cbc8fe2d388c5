package carawayswitch.backpressure;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;

import carawayswitch.schedule.PoolRequest;

/**
 * Bound on the bytes of request bodies that one engine holds, over all hosts. The owner
 * of the pools asks it before it offers a request to the scheduler and before it grants a
 * place; a request for which no engine has room waits here, the most urgent first.
 * Invariants: an engine that holds a body is not granted another that exceeds the bound,
 * and no request with a body is granted an engine that its host backs off from. Not safe
 * for use by several threads.
 */
public final class EngineBodyGate implements EngineRoom {

	private static final Comparator<WaitingKey> MOST_URGENT_FIRST = Comparator.comparingInt(WaitingKey::urgency)
		.reversed()
		.thenComparingLong(WaitingKey::arrivalMillis)
		.thenComparing(WaitingKey::id);

	/**
	 * Time in milliseconds between two offers of a waiting request while no body ends.
	 */
	private static final long OFFER_INTERVAL_MILLIS = 250;

	private final long boundBytes;

	/** Part of the bound that this owner may grant. */
	private double share = 1;

	private final EndpointBodies<String> held = new EndpointBodies<>();

	/** Length of the bodies of requests that are not ended, by request id. */
	private final Map<String, Long> bodyBytes = new HashMap<>();

	/** Engines that the requesting host sends nothing to, by request id. */
	private final Map<String, Set<String>> backedOff = new HashMap<>();

	/** Requests as they were before engines without room were excluded, by id. */
	private final Map<String, PoolRequest> requests = new HashMap<>();

	private final Map<WaitingKey, PoolRequest> waiting = new TreeMap<>(MOST_URGENT_FIRST);

	private final Map<String, WaitingKey> waitingKeys = new HashMap<>();

	/**
	 * Ids of the requests that were ever put off for want of memory and are not ended.
	 */
	private final Set<String> deferred = new HashSet<>();

	private boolean roomFreed;

	private long lastOffersAt = Long.MIN_VALUE / 2;

	/**
	 * Requests that were put off for want of memory since the last call of
	 * {@link #takeDeferrals}.
	 */
	private final List<Deferral> deferrals = new ArrayList<>();

	/**
	 * Creates a gate without requests.
	 * @param boundBytes most bytes of bodies that one engine holds
	 */
	public EngineBodyGate(long boundBytes) {
		this.boundBytes = boundBytes;
	}

	/**
	 * Sets the part of the bound that this owner may grant.
	 * @param newShare share of the known hosts that the owner reaches, above 0 and up to
	 * 1
	 */
	public void share(double newShare) {
		this.share = newShare;
	}

	/**
	 * Records the length of the body of a request that is to be offered.
	 * @param id id of the request
	 * @param bytes length in bytes; 0 if it is not known
	 * @param backedOffEngines ids of the engines that the requesting host backs off from,
	 * which have no room for the request; unused if the length is not known
	 */
	public void expect(String id, long bytes, Collection<String> backedOffEngines) {
		if (bytes > 0) {
			this.bodyBytes.put(id, bytes);
			this.backedOff.put(id, Set.copyOf(backedOffEngines));
		}
	}

	@Override
	public boolean hasRoom(String id, String engine) {
		return !backsOff(id, engine) && hasMemory(id, engine);
	}

	private boolean backsOff(String id, String engine) {
		return this.backedOff.getOrDefault(id, Set.of()).contains(engine);
	}

	private boolean hasMemory(String id, String engine) {
		return this.held.hasRoom(engine, bytesOf(id), (long) (this.boundBytes * this.share));
	}

	private long bytesOf(String id) {
		return this.bodyBytes.getOrDefault(id, 0L);
	}

	/**
	 * Adds the engines without room to the excluded ones of a request, so that the
	 * scheduler prefers another one. Engines that were excluded before are allowed if
	 * only they have room, except those that the host backs off from.
	 * @param request the request
	 * @param engines ids of the engines that may run it
	 * @return the request as it is to be offered
	 */
	public PoolRequest excludeFull(PoolRequest request, Collection<String> engines) {
		if (bytesOf(request.id()) == 0) {
			return request;
		}
		this.requests.put(request.id(), request);
		Set<String> full = new HashSet<>(engines);
		full.removeIf((engine) -> hasRoom(request.id(), engine));
		if (full.isEmpty()) {
			return request;
		}
		Set<String> excluded = new HashSet<>(full);
		excluded.addAll(request.excluded());
		boolean allExcluded = excluded.containsAll(engines);
		return new PoolRequest(request.work(), request.host(), request.zone(), request.objectiveAt(),
				allExcluded ? full : excluded, request.clientDeadlineAt(), request.returnKey(), request.resumed(),
				request.maxGapMillis(), request.versions(), request.sharedSegments());
	}

	/**
	 * Counts a granted request at its engine, or puts the request off until an engine has
	 * room for it.
	 * @param request the request
	 * @param engine id of the chosen engine
	 * @return false if the grant must not be used; the request waits here
	 */
	public boolean grant(PoolRequest request, String engine) {
		if (hasRoom(request.id(), engine)) {
			this.held.onSent(request.id(), engine, bytesOf(request.id()));
			return true;
		}
		WaitingKey key = new WaitingKey(request.work().urgency(), request.work().arrivalMillis(), request.id());
		this.waiting.put(key, this.requests.getOrDefault(request.id(), request));
		this.waitingKeys.put(request.id(), key);
		if (!hasMemory(request.id(), engine) && this.deferred.add(request.id())) {
			this.deferrals.add(new Deferral(request.id(), engine, bytesOf(request.id()), this.held.heldBytes(engine)));
		}
		return false;
	}

	/**
	 * Counts a request that another owner has placed.
	 * @param id id of the request
	 * @param engine id of its engine
	 * @param bytes length of its body in bytes
	 */
	public void adopt(String id, String engine, long bytes) {
		expect(id, bytes, List.of());
		this.held.onSent(id, engine, bytes);
	}

	/**
	 * Returns whether a request waits for room.
	 * @param id id of the request
	 * @return true if it is to be left here
	 */
	public boolean waits(String id) {
		return this.waitingKeys.containsKey(id);
	}

	/**
	 * Returns whether waiting requests are to be offered again: after a body has ended,
	 * and from time to time, since an engine may have become usable.
	 * @param now time in milliseconds
	 * @return true if {@link #takeNext} is to be called
	 */
	public boolean offersDue(long now) {
		boolean due = !this.waiting.isEmpty() && (this.roomFreed || now - this.lastOffersAt >= OFFER_INTERVAL_MILLIS);
		if (due) {
			this.roomFreed = false;
			this.lastOffersAt = now;
		}
		return due;
	}

	/**
	 * Takes out the most urgent waiting request for which an engine has room now.
	 * @param engines supplies the ids of the engines that may run a request
	 * @param offered ids of requests that are left out, since they were just offered
	 * @return the request to offer again, or null if there is none
	 */
	public PoolRequest takeNext(Function<PoolRequest, Collection<String>> engines, Set<String> offered) {
		for (PoolRequest request : this.waiting.values()) {
			Collection<String> candidates = offered.contains(request.id()) ? Set.of() : engines.apply(request);
			if (candidates.stream().anyMatch((engine) -> hasRoom(request.id(), engine))) {
				removeWaiting(request.id());
				return request;
			}
		}
		return null;
	}

	/**
	 * Takes out the waiting requests whose wait limit is over, which are to be rejected.
	 * @param now time in milliseconds
	 * @return the requests
	 */
	public List<PoolRequest> takeExpired(long now) {
		List<PoolRequest> expired = this.waiting.values()
			.stream()
			.filter((request) -> now >= request.work().deadlineMillis())
			.toList();
		expired.forEach((request) -> onEnded(request.id()));
		return expired;
	}

	private void removeWaiting(String id) {
		WaitingKey key = this.waitingKeys.remove(id);
		if (key != null) {
			this.waiting.remove(key);
		}
	}

	/**
	 * Forgets a request that has ended, was rejected or was withdrawn.
	 * @param id id of the request
	 */
	public void onEnded(String id) {
		removeWaiting(id);
		this.bodyBytes.remove(id);
		this.backedOff.remove(id);
		this.requests.remove(id);
		this.deferred.remove(id);
		this.roomFreed |= this.held.onEnded(id);
	}

	/**
	 * Forgets the waiting requests of a host.
	 * @param host id of the host
	 * @return ids of the requests
	 */
	public List<String> removeWaitingOf(String host) {
		List<String> ids = this.waiting.values()
			.stream()
			.filter((request) -> request.host().equals(host))
			.map(PoolRequest::id)
			.toList();
		ids.forEach(this::onEnded);
		return ids;
	}

	/** Forgets all requests. */
	public void clear() {
		this.waiting.clear();
		this.waitingKeys.clear();
		this.bodyBytes.clear();
		this.backedOff.clear();
		this.requests.clear();
		this.deferred.clear();
		this.held.clear();
	}

	/**
	 * Returns the number of waiting requests.
	 * @return the number
	 */
	public int waitingCount() {
		return this.waiting.size();
	}

	/**
	 * Returns the bytes that an engine holds.
	 * @param engine id of the engine
	 * @return number of bytes
	 */
	public long heldBytes(String engine) {
		return this.held.heldBytes(engine);
	}

	/**
	 * Takes the requests that were put off since the last call, for the log.
	 * @return the requests
	 */
	public List<Deferral> takeDeferrals() {
		List<Deferral> taken = List.copyOf(this.deferrals);
		this.deferrals.clear();
		return taken;
	}

	/**
	 * Request that was put off. Immutable.
	 *
	 * @param request id of the request
	 * @param engine id of the engine that was chosen for it
	 * @param bytes length of its body in bytes
	 * @param heldBytes bytes that the engine holds
	 */
	public record Deferral(String request, String engine, long bytes, long heldBytes) {

	}

	private record WaitingKey(int urgency, long arrivalMillis, String id) {

	}

}
