package carawayswitch.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.Consumer;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import io.activej.reactor.nio.NioReactor;

import carawayswitch.config.ConfigurationHolder;
import carawayswitch.config.ConfigurationState;
import carawayswitch.config.Endpoint;
import carawayswitch.config.EntityKind;
import carawayswitch.config.Service;
import carawayswitch.endpoint.EndpointAdapter;
import carawayswitch.endpoint.EngineAdapter;
import carawayswitch.endpoint.ServiceAdapter;
import carawayswitch.http.OutboundHttpClient;
import carawayswitch.message.CancelRequest;
import carawayswitch.message.EndpointDigest;
import carawayswitch.message.ForwardRequest;
import carawayswitch.message.ReplyEnd;
import carawayswitch.outcome.ErrorKind;
import carawayswitch.outcome.Outcome;
import carawayswitch.outcome.TimeOrderedId;
import carawayswitch.schedule.EndpointScheduler;

/**
 * Registry of the endpoints whose queues this host holds. An owner is created when the
 * first request for its endpoint arrives, and is confined to one event loop. Invariant:
 * an attempt that was cancelled before it arrived is never dispatched. Thread-safe.
 */
public final class EndpointOwners {

	private static final Duration CANCELLED_TTL = Duration.ofMinutes(10);

	private static final Duration ARRIVED_TTL = Duration.ofMinutes(1);

	/**
	 * Maximum age of a request in milliseconds at which the arrival of its attempts is
	 * certainly still recorded. Must be lower than {@link #ARRIVED_TTL}.
	 */
	private static final long ARRIVAL_RETENTION_MILLIS = 30_000;

	private final List<Loop> loops;

	private final long incarnation;

	private final ConfigurationHolder configuration;

	private final EndpointScheduler.QueueLimits queueLimits;

	private final ConcurrentMap<String, LoopOwner> ownersByEndpoint = new ConcurrentHashMap<>();

	private final Cache<String, Boolean> cancelled = Caffeine.newBuilder().expireAfterWrite(CANCELLED_TTL).build();

	private final Cache<String, Boolean> arrived = Caffeine.newBuilder().expireAfterWrite(ARRIVED_TTL).build();

	private volatile boolean stopping;

	/**
	 * Creates a registry without owners.
	 * @param loops event loops over which the endpoints are distributed
	 * @param incarnation incarnation number of this host
	 * @param configuration the configuration
	 * @param queueLimits limits of each queue
	 */
	public EndpointOwners(List<Loop> loops, long incarnation, ConfigurationHolder configuration,
			EndpointScheduler.QueueLimits queueLimits) {
		this.loops = List.copyOf(loops);
		this.incarnation = incarnation;
		this.configuration = configuration;
		this.queueLimits = queueLimits;
	}

	/**
	 * Submits an attempt to the owner of its endpoint. It is rejected as {@code not_run}
	 * if the endpoint is unknown, if this host is stopping, or if the attempt was meant
	 * for another incarnation of this host.
	 * @param request the attempt
	 * @param sink receives the answer on the thread of the endpoint's event loop
	 */
	public void submit(ForwardRequest request, ReplySink sink) {
		LoopOwner loopOwner = ownerFor(request.endpoint());
		boolean sameIncarnation = request.ownerIncarnation() == this.incarnation;
		if (loopOwner == null || this.stopping || !sameIncarnation) {
			ErrorKind kind = this.stopping ? ErrorKind.HOST_STOPPING : ErrorKind.NO_ENDPOINT;
			sink.end(new ReplyEnd(request.requestId(), request.attempt(), Outcome.NOT_RUN.label(), kind.label(), 0, 0,
					0, null));
			return;
		}
		runOnLoop(loopOwner, (owner) -> {
			String id = Attempt.id(request.requestId(), request.attempt());
			if (this.cancelled.getIfPresent(id) == null) {
				this.arrived.put(id, true);
				owner.submit(request, sink);
			}
		});
	}

	/**
	 * Cancels an attempt.
	 * @param request identifies the attempt
	 * @param wallMillis wall-clock time in milliseconds since the epoch
	 * @param onReply receives true if the attempt was never dispatched and never will be
	 */
	public void cancel(CancelRequest request, long wallMillis, Consumer<Boolean> onReply) {
		LoopOwner loopOwner = ownerFor(request.endpoint());
		if (request.incarnation() != this.incarnation || loopOwner == null) {
			onReply.accept(false);
			return;
		}
		runOnLoop(loopOwner, (owner) -> {
			String id = Attempt.id(request.requestId(), request.attempt());
			boolean arrived = this.arrived.getIfPresent(id) != null;
			boolean withinRetention = TimeOrderedId.ageMillis(request.requestId(),
					wallMillis) < ARRIVAL_RETENTION_MILLIS;
			if (!arrived && withinRetention) {
				this.cancelled.put(id, true);
			}
			onReply.accept(arrived ? owner.cancel(request.requestId(), request.attempt()) : withinRetention);
		});
	}

	private void runOnLoop(LoopOwner loopOwner, Consumer<EndpointOwner> action) {
		NioReactor reactor = loopOwner.loop().reactor();
		if (reactor.inReactorThread()) {
			action.accept(loopOwner.owner());
		}
		else {
			reactor.execute(() -> action.accept(loopOwner.owner()));
		}
	}

	private LoopOwner ownerFor(String endpointId) {
		LoopOwner existing = this.ownersByEndpoint.get(endpointId);
		ConfigurationState state = this.configuration.state();
		Endpoint endpoint = state.find(Endpoint.class, EntityKind.ENDPOINT, endpointId).getOrNull();
		if (endpoint == null) {
			return existing;
		}
		if (existing != null && existing.endpoint().address().equals(endpoint.address())) {
			return existing;
		}
		return this.ownersByEndpoint.compute(endpointId, (id, current) -> {
			if (current != null && current.endpoint().address().equals(endpoint.address())) {
				return current;
			}
			if (current != null) {
				runOnLoop(current, (owner) -> owner.leaving(true));
			}
			return create(id, endpoint, state);
		});
	}

	private LoopOwner create(String id, Endpoint endpoint, ConfigurationState state) {
		Loop loop = this.loops.get(Math.floorMod(id.hashCode(), this.loops.size()));
		boolean engine = endpoint.services()
			.stream()
			.anyMatch((
					name) -> state.find(Service.class, EntityKind.SERVICE, name).map(Service::engine).getOrElse(false));
		EndpointAdapter adapter = engine ? new EngineAdapter(loop.httpClient(), endpoint.address())
				: new ServiceAdapter(loop.httpClient(), endpoint.address());
		EndpointOwner owner = new EndpointOwner(loop.reactor(), id, endpoint, engine, this.queueLimits, adapter,
				this.configuration);
		LoopOwner loopOwner = new LoopOwner(loop, owner, endpoint);
		runOnLoop(loopOwner, EndpointOwner::start);
		return loopOwner;
	}

	/**
	 * Applies the current configuration: an endpoint that is leaving or no longer
	 * configured accepts no new work.
	 */
	public void onConfiguration() {
		ConfigurationState state = this.configuration.state();
		this.ownersByEndpoint.forEach((id, loopOwner) -> {
			boolean leaving = state.find(Endpoint.class, EntityKind.ENDPOINT, id)
				.map(Endpoint::leaving)
				.getOrElse(true);
			runOnLoop(loopOwner, (owner) -> owner.leaving(leaving));
		});
	}

	/**
	 * Applies the load that was reported for an endpoint. If protected work is at risk
	 * there, less urgent work yields at the owned endpoints that serve any of the same
	 * services.
	 * @param digest the reported load
	 * @param now time in milliseconds
	 */
	public void onDigest(EndpointDigest digest, long now) {
		this.configuration.state()
			.find(Endpoint.class, EntityKind.ENDPOINT, digest.endpoint())
			.forEach((reportedEndpoint) -> {
				for (LoopOwner loopOwner : this.ownersByEndpoint.values()) {
					if (!Collections.disjoint(loopOwner.endpoint().services(), reportedEndpoint.services())) {
						runOnLoop(loopOwner,
								(owner) -> owner.updateRemoteUrgencyFloor(digest.endpoint(), digest.yieldBelow(), now));
					}
				}
			});
	}

	/**
	 * Returns the load of all owned endpoints.
	 * @return the digests
	 */
	public List<EndpointDigest> digests() {
		List<EndpointDigest> digests = new ArrayList<>();
		this.ownersByEndpoint.values().forEach((loopOwner) -> digests.add(loopOwner.owner().digest()));
		return digests;
	}

	/**
	 * Rejects new attempts and queued attempts, for a graceful shutdown.
	 */
	public void stop() {
		this.stopping = true;
		this.ownersByEndpoint.values().forEach((loopOwner) -> runOnLoop(loopOwner, EndpointOwner::rejectQueued));
	}

	/**
	 * Returns the number of in-flight attempts, queued or dispatched.
	 * @return number of attempts
	 */
	public int inFlight() {
		return this.ownersByEndpoint.values().stream().mapToInt((loopOwner) -> loopOwner.owner().inFlight()).sum();
	}

	/**
	 * An event loop with its HTTP client. Immutable.
	 *
	 * @param reactor the event loop
	 * @param httpClient HTTP client of the event loop
	 */
	public record Loop(NioReactor reactor, OutboundHttpClient httpClient) {

	}

	private record LoopOwner(Loop loop, EndpointOwner owner, Endpoint endpoint) {

	}

}
