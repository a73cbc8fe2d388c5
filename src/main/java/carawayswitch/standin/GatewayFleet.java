package carawayswitch.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import carawayswitch.gateway.GatewayHost;
import carawayswitch.gateway.GatewaySettings;
import carawayswitch.gateway.HeaderCodec;
import carawayswitch.http.Json;
import carawayswitch.platform.PlatformHeaderCodec;
import carawayswitch.platform.StoreClient;
import carawayswitch.rollout.ExposureLimits;
import carawayswitch.zone.ZoneTrafficSettings;

/**
 * A small deployment of gateway hosts in one process on loopback, with stand-ins for the
 * platform's store, two engines and a plain service. Thread-safe once started.
 *
 * <pre>
 * GatewayFleet fleet = GatewayFleet.start(3);
 * fleet.host(0).frontAddress();
 * fleet.stop();
 * </pre>
 */
public final class GatewayFleet {

	/** Host name that all routes match. */
	public static final String ROUTE_HOST_NAME = "127.0.0.1";

	/** API key that is valid in the initial configuration. */
	public static final String API_KEY = "key-of-yard";

	/** Name of the cluster of its hosts. */
	static final String CLUSTER_NAME = "gateway-fleet";

	private static final String ENGINE_SERVICE = "engine";

	private static final String PLAIN_SERVICE = "ledger";

	private static final int ENGINE_COUNT = 2;

	private static final int CAPACITY_MILLICORES = 1000;

	/**
	 * Largest number of attempts, also of routes whose requests must not be repeated, so
	 * that only the kind of a route keeps the gateway from repeating them.
	 */
	private static final int MAX_ATTEMPTS = 3;

	/** Time in milliseconds within which a removed API key is no longer admitted. */
	public static final long REVOCATION_MILLIS = 3000;

	private final GatewaySettings.Bounds bounds;

	private static final ExposureLimits EXPOSURE = new ExposureLimits(0.1, 50, 5000);

	private final StoreStandIn store;

	private final List<EndpointStandIn> engines = new ArrayList<>();

	private final List<EndpointStandIn> plainEndpoints = new ArrayList<>();

	private final List<GatewayHost> hosts = new ArrayList<>();

	/** Number of hosts that start for the first time; later ones join. */
	private final int firstHosts;

	private GatewaySettings.Pressure pressure = GatewaySettings.Pressure.OFF;

	private int configurationVersion;

	private GatewayFleet(int firstHosts, ExposureLimits exposure) throws IOException {
		this.firstHosts = firstHosts;
		this.bounds = new GatewaySettings.Bounds(2000, 2000, true, REVOCATION_MILLIS, 4000, 0.2, 54, 10_000, 8000, 0.1,
				140_000, exposure);
		this.store = StoreStandIn.start();
		for (int i = 0; i < ENGINE_COUNT; i++) {
			this.engines.add(EndpointStandIn.start("engine-" + i, ENGINE_SERVICE));
		}
		writeConfiguration(API_KEY);
		this.engines.forEach((engine) -> registerEndpoint(engine, "ready"));
		addPlainEndpoint();
	}

	/**
	 * Starts a fleet.
	 * @param hosts number of gateway hosts
	 * @return the fleet
	 * @throws IOException if a port cannot be bound
	 */
	public static GatewayFleet start(int hosts) throws IOException {
		return start(hosts, null);
	}

	/**
	 * Starts a fleet that follows orders of rollouts.
	 * @param hosts number of gateway hosts
	 * @return the fleet
	 * @throws IOException if a port cannot be bound
	 */
	public static GatewayFleet startWithRollouts(int hosts) throws IOException {
		return start(hosts, EXPOSURE);
	}

	private static GatewayFleet start(int hosts, ExposureLimits exposure) throws IOException {
		GatewayFleet fleet = new GatewayFleet(Math.max(1, hosts), exposure);
		for (int i = 0; i < hosts; i++) {
			fleet.addHost(GatewayHost.NO_METRICS);
		}
		return fleet;
	}

	/**
	 * Sets the bounds on memory of the hosts that start from now on.
	 * @param newPressure the bounds; off unless set
	 */
	public void pressure(GatewaySettings.Pressure newPressure) {
		this.pressure = newPressure;
	}

	/**
	 * Starts another gateway host.
	 * @param metricsPort port for metrics, 0 for an ephemeral port, or
	 * {@link GatewayHost#NO_METRICS}
	 * @return the host
	 * @throws IOException if a port cannot be bound
	 */
	public GatewayHost addHost(int metricsPort) throws IOException {
		return addHost(metricsPort, new PlatformHeaderCodec());
	}

	/**
	 * Starts another gateway host.
	 * @param metricsPort port for metrics, 0 for an ephemeral port, or
	 * {@link GatewayHost#NO_METRICS}
	 * @param headerCodec codec for the headers of requests and responses
	 * @return the host
	 * @throws IOException if a port cannot be bound
	 */
	public GatewayHost addHost(int metricsPort, HeaderCodec headerCodec) throws IOException {
		return addHost(metricsPort, headerCodec, settings("a", null));
	}

	/**
	 * Starts another gateway host.
	 * @param metricsPort port for metrics, 0 for an ephemeral port, or
	 * {@link GatewayHost#NO_METRICS}
	 * @param headerCodec codec for the headers of requests and responses
	 * @param settings settings of the host
	 * @return the host
	 * @throws IOException if a port cannot be bound
	 */
	public GatewayHost addHost(int metricsPort, HeaderCodec headerCodec, GatewaySettings settings) throws IOException {
		GatewayHost host = GatewayHost.start(settings, metricsPort, headerCodec,
				(reactor, pool) -> new StoreClient(reactor, pool, this.store.address()));
		this.hosts.add(host);
		return host;
	}

	/**
	 * Returns settings for the next host.
	 * @param zone availability zone of the host
	 * @param zoneTraffic price and time of the path between zones, or null
	 * @return the settings
	 */
	public GatewaySettings settings(String zone, ZoneTrafficSettings zoneTraffic) {
		InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
		return new GatewaySettings("host-" + this.hosts.size(), zone, anyPort, anyPort, anyPort, this.store.address(),
				CLUSTER_NAME, CAPACITY_MILLICORES, this.hosts.size() < this.firstHosts, this.bounds, zoneTraffic,
				this.pressure);
	}

	/**
	 * Starts another engine.
	 * @param version version of its software
	 * @return the engine
	 * @throws IOException if no port can be bound
	 */
	public EndpointStandIn addEngine(String version) throws IOException {
		EndpointStandIn engine = EndpointStandIn.start("engine-" + this.engines.size(), ENGINE_SERVICE, version);
		this.engines.add(engine);
		registerEndpoint(engine, "ready");
		return engine;
	}

	/**
	 * Starts another endpoint of the plain service.
	 * @throws IOException if no port can be bound
	 */
	public void addPlainEndpoint() throws IOException {
		addPlainEndpoint(EndpointStandIn.FIRST_VERSION);
	}

	/**
	 * Starts another endpoint of the plain service.
	 * @param version version of its software
	 * @return the endpoint
	 * @throws IOException if no port can be bound
	 */
	public EndpointStandIn addPlainEndpoint(String version) throws IOException {
		EndpointStandIn endpoint = EndpointStandIn.start("ledger-" + this.plainEndpoints.size(), PLAIN_SERVICE,
				version);
		this.plainEndpoints.add(endpoint);
		registerEndpoint(endpoint, "ready");
		return endpoint;
	}

	/**
	 * Orders the rollout of a version.
	 * @param service name of the service
	 * @param target the version
	 * @param seconds time limit in seconds
	 */
	public void orderRollout(String service, String target, int seconds) {
		this.store.put("keyed.op", "rollout/" + service,
				Json.bytes(Json.object().put("service", service).put("target", target).put("duration-s", seconds)));
	}

	/**
	 * Returns the reported state of a rollout.
	 * @param service name of the service
	 * @return the state, a space and the target, or an empty text if there is none
	 */
	public String rolloutStatus(String service) {
		byte[] value = this.store.newest("keyed.status", "rollout/" + service);
		JsonNode tree = (value.length > 0) ? Json.parse(value).get() : Json.object();
		return (tree.path("state").asText() + ' ' + tree.path("target").asText()).trim();
	}

	/**
	 * Writes the next version of the configuration to the store.
	 * @param apiKeys valid API keys of the only organisation
	 */
	public synchronized void writeConfiguration(String... apiKeys) {
		this.configurationVersion++;
		this.store.put("keyed.op", "config", configuration(this.configurationVersion, apiKeys));
	}

	/** Writes a configuration without the engines and their routes to the store. */
	public synchronized void writeConfigurationWithoutEngines() {
		this.configurationVersion++;
		ObjectNode configuration = (ObjectNode) Json.parse(configuration(this.configurationVersion, API_KEY)).get();
		for (String list : List.of("routes", "services")) {
			Iterator<JsonNode> entries = configuration.get(list).iterator();
			while (entries.hasNext()) {
				JsonNode entry = entries.next();
				if (entry.path("service").asText().equals(ENGINE_SERVICE)
						|| entry.path("name").asText().equals(ENGINE_SERVICE)) {
					entries.remove();
				}
			}
		}
		this.store.put("keyed.op", "config", Json.bytes(configuration));
	}

	/**
	 * Returns a configuration with streaming, non-idempotent and idempotent routes and
	 * one that is exempt from authentication.
	 * @param version version of the configuration
	 * @param keys valid API keys of the only organisation
	 * @return the configuration as stored, in JSON
	 */
	public static byte[] configuration(int version, String... keys) {
		ObjectNode configuration = Json.object().put("version", version);
		ArrayNode routes = configuration.putArray("routes");
		route(routes, "report", "streaming", ENGINE_SERVICE, MAX_ATTEMPTS).put("priority", 0);
		route(routes, "summary", "streaming", ENGINE_SERVICE, MAX_ATTEMPTS).put("priority", 1)
			.put("stream-resume", true);
		route(routes, "book", "non_idempotent", PLAIN_SERVICE, MAX_ATTEMPTS);
		route(routes, "status", "idempotent", PLAIN_SERVICE, 2);
		route(routes, "open", "idempotent", PLAIN_SERVICE, 2).put("auth-exempt", true);
		ArrayNode services = configuration.putArray("services");
		services.addObject()
			.put("name", ENGINE_SERVICE)
			.put("max-connections", 100)
			.putObject("engine")
			.put("slots", 4)
			.put("kv-token-capacity", 100_000)
			.put("stride", 5);
		services.addObject().put("name", PLAIN_SERVICE).put("max-connections", 100);
		ArrayNode apiKeys = configuration.putArray("tenants")
			.addObject()
			.put("name", "yard")
			.put("unit", "tokens")
			.put("plain-tokens", 200)
			.put("rate-per-s", 100_000)
			.put("burst", 100_000)
			.putArray("api-keys");
		for (String key : keys) {
			apiKeys.add(key);
		}
		return Json.bytes(configuration);
	}

	private static ObjectNode route(ArrayNode routes, String name, String kind, String service, int maxAttempts) {
		return routes.addObject()
			.put("name", name)
			.put("host", ROUTE_HOST_NAME)
			.put("path-prefix", "/" + name + "/")
			.put("kind", kind)
			.put("service", service)
			.put("timeout-ms", 5000)
			.put("target-latency-ms", 400)
			.put("max-attempts", maxAttempts);
	}

	/**
	 * Writes the registration record of an endpoint to the store, as a real endpoint does
	 * with each heartbeat.
	 * @param endpoint the endpoint
	 * @param state {@code ready} or {@code draining}
	 */
	public void registerEndpoint(EndpointStandIn endpoint, String state) {
		this.store.put("keyed.servers", endpoint.id(), endpoint.registration(state));
	}

	/**
	 * Returns the platform's store.
	 * @return the stand-in
	 */
	public StoreStandIn store() {
		return this.store;
	}

	/**
	 * Returns the engines.
	 * @return the stand-ins
	 */
	public List<EndpointStandIn> engines() {
		return this.engines;
	}

	/**
	 * Returns the first endpoint of the plain service.
	 * @return the stand-in
	 */
	public EndpointStandIn plainEndpoint() {
		return this.plainEndpoints.get(0);
	}

	/**
	 * Returns all endpoints, those of the plain service included.
	 * @return the stand-ins
	 */
	public List<EndpointStandIn> endpoints() {
		return Stream.concat(this.engines.stream(), this.plainEndpoints.stream()).toList();
	}

	/**
	 * Returns a host.
	 * @param index index of the host in the order of its start, from 0
	 * @return the host
	 */
	public GatewayHost host(int index) {
		return this.hosts.get(index);
	}

	/** Kills all hosts and endpoints and stops the store, without a graceful shutdown. */
	public void stop() {
		this.hosts.forEach(GatewayHost::kill);
		this.engines.forEach(EndpointStandIn::kill);
		this.plainEndpoints.forEach(EndpointStandIn::kill);
		this.store.stop();
	}

}
