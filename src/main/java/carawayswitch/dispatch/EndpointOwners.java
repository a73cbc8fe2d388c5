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
import carawayswitch.http.HttpCaller;
import carawayswitch.message.CancelRequest;
import carawayswitch.message.EndpointDigest;
import carawayswitch.message.ForwardRequest;
import carawayswitch.message.ReplyEnd;
import carawayswitch.outcome.ErrorKind;
import carawayswitch.outcome.Outcome;
import carawayswitch.outcome.TimedId;
import carawayswitch.schedule.EndpointScheduler;

/**
 * The endpoints whose queues this host holds. An owner is created with the first request
 * for its endpoint. Invariant: an attempt that was cancelled before it arrived is never
 * dispatched. Safe for use by several threads.
 */
public final class EndpointOwners {

	private static final Duration CANCELLED_TTL = Duration.ofMinutes(10);

	private static final Duration ARRIVED_TTL = Duration.ofMinutes(1);

	/** Age in milliseconds up to which the arrival of an attempt is surely remembered. */
	private static final long REMEMBERED_AGE_MILLIS = 30_000;

	private final List<Loop> loops;

	private final long incarnation;

	private final ConfigurationHolder configuration;

	private final EndpointScheduler.QueueLimits bounds;

	private final ConcurrentMap<String, Placed> owners = new ConcurrentHashMap<>();

	private final Cache<String, Boolean> cancelled = Caffeine.newBuilder().expireAfterWrite(CANCELLED_TTL).build();

	private final Cache<String, Boolean> arrived = Caffeine.newBuilder().expireAfterWrite(ARRIVED_TTL).build();

	private volatile boolean stopping;

	/**
	 * Creates a directory without owners.
	 * @param loops event loops that share the endpoints
	 * @param incarnation incarnation number of this host
	 * @param configuration the configuration
	 * @param bounds bounds of each queue
	 */
	public EndpointOwners(List<Loop> loops, long incarnation, ConfigurationHolder configuration,
			EndpointScheduler.QueueLimits bounds) {
		this.loops = List.copyOf(loops);
		this.incarnation = incarnation;
		this.configuration = configuration;
		this.bounds = bounds;
	}

	/**
	 * Takes in an attempt.
	 * @param request the attempt
	 * @param sink receives the answer on the thread of the endpoint's event loop
	 */
	public void submit(ForwardRequest request, ReplySink sink) {
		Placed placed = place(request.endpoint());
		boolean meant = request.ownerIncarnation() == this.incarnation;
		if (placed == null || this.stopping || !meant) {
			ErrorKind kind = this.stopping ? ErrorKind.HOST_STOPPING : ErrorKind.NO_ENDPOINT;
			sink.end(new ReplyEnd(request.requestId(), request.attempt(), Outcome.NOT_RUN.label(), kind.label(), 0, 0,
					0, null));
			return;
		}
		run(placed, (owner) -> {
			String id = Attempt.id(request.requestId(), request.attempt());
			if (this.cancelled.getIfPresent(id) == null) {
				this.arrived.put(id, true);
				owner.submit(request, sink);
			}
		});
	}

	/**
	 * Stops an attempt.
	 * @param request names the attempt
	 * @param wall wall-clock time in milliseconds since the epoch
	 * @param reply receives true if the attempt was never dispatched and never will be
	 */
	public void cancel(CancelRequest request, long wall, Consumer<Boolean> reply) {
		Placed placed = place(request.endpoint());
		if (request.incarnation() != this.incarnation || placed == null) {
			reply.accept(false);
			return;
		}
		run(placed, (owner) -> {
			String id = Attempt.id(request.requestId(), request.attempt());
			boolean arrived = this.arrived.getIfPresent(id) != null;
			boolean remembered = TimedId.ageMillis(request.requestId(), wall) < REMEMBERED_AGE_MILLIS;
			if (!arrived && remembered) {
				this.cancelled.put(id, true);
			}
			reply.accept(arrived ? owner.cancel(request.requestId(), request.attempt()) : remembered);
		});
	}

	private void run(Placed placed, Consumer<EndpointOwner> action) {
		NioReactor reactor = placed.loop().reactor();
		if (reactor.inReactorThread()) {
			action.accept(placed.owner());
		}
		else {
			reactor.execute(() -> action.accept(placed.owner()));
		}
	}

	private Placed place(String endpointId) {
		Placed known = this.owners.get(endpointId);
		ConfigurationState state = this.configuration.state();
		Endpoint endpoint = state.find(Endpoint.class, EntityKind.ENDPOINT, endpointId).getOrNull();
		if (endpoint == null) {
			return known;
		}
		if (known != null && known.endpoint().address().equals(endpoint.address())) {
			return known;
		}
		return this.owners.compute(endpointId, (id, current) -> {
			if (current != null && current.endpoint().address().equals(endpoint.address())) {
				return current;
			}
			if (current != null) {
				run(current, (owner) -> owner.leaving(true));
			}
			return create(id, endpoint, state);
		});
	}

	private Placed create(String id, Endpoint endpoint, ConfigurationState state) {
		Loop loop = this.loops.get(Math.floorMod(id.hashCode(), this.loops.size()));
		boolean engine = endpoint.services()
			.stream()
			.anyMatch((
					name) -> state.find(Service.class, EntityKind.SERVICE, name).map(Service::engine).getOrElse(false));
		EndpointAdapter adapter = engine ? new EngineAdapter(loop.caller(), endpoint.address())
				: new ServiceAdapter(loop.caller(), endpoint.address());
		EndpointOwner owner = new EndpointOwner(loop.reactor(), id, endpoint, engine, this.bounds, adapter,
				this.configuration);
		Placed placed = new Placed(loop, owner, endpoint);
		run(placed, EndpointOwner::start);
		return placed;
	}

	/**
	 * Makes owners follow changes of the configuration.
	 */
	public void onConfiguration() {
		ConfigurationState state = this.configuration.state();
		this.owners.forEach((id, placed) -> {
			boolean leaving = state.find(Endpoint.class, EntityKind.ENDPOINT, id)
				.map(Endpoint::leaving)
				.getOrElse(true);
			run(placed, (owner) -> owner.leaving(leaving));
		});
	}

	/**
	 * Takes in the load of an endpoint. Work yields to protected work that is at risk
	 * there where the same services are served.
	 * @param digest the load
	 * @param now time in milliseconds
	 */
	public void onDigest(EndpointDigest digest, long now) {
		this.configuration.state().find(Endpoint.class, EntityKind.ENDPOINT, digest.endpoint()).forEach((other) -> {
			for (Placed placed : this.owners.values()) {
				if (!Collections.disjoint(placed.endpoint().services(), other.services())) {
					run(placed, (owner) -> owner.yieldBelow(digest.endpoint(), digest.yieldBelow(), now));
				}
			}
		});
	}

	/**
	 * Describes the load of all owned endpoints.
	 * @return the digests
	 */
	public List<EndpointDigest> digests() {
		List<EndpointDigest> digests = new ArrayList<>();
		this.owners.values().forEach((placed) -> digests.add(placed.owner().digest()));
		return digests;
	}

	/**
	 * Refuses new attempts and those that have not been dispatched.
	 */
	public void stop() {
		this.stopping = true;
		this.owners.values().forEach((placed) -> run(placed, EndpointOwner::refuseQueued));
	}

	/**
	 * Returns the number of attempts without an end.
	 * @return number of attempts
	 */
	public int inFlight() {
		return this.owners.values().stream().mapToInt((placed) -> placed.owner().inFlight()).sum();
	}

	/**
	 * An event loop with its HTTP client. Immutable.
	 *
	 * @param reactor the event loop
	 * @param caller HTTP client of the event loop
	 */
	public record Loop(NioReactor reactor, HttpCaller caller) {

	}

	private record Placed(Loop loop, EndpointOwner owner, Endpoint endpoint) {

	}

}
