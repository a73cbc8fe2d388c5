package carawayswitch.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import carawayswitch.gateway.GatewayHost;
import carawayswitch.gateway.GatewaySettings;
import carawayswitch.http.Json;
import carawayswitch.platform.PlatformHeaderCodec;
import carawayswitch.platform.StoreClient;

/**
 * A small deployment of gateway hosts with stand-ins of the store, of engines and of a
 * plain service, in one process on loopback. Safe for use by several threads once
 * started.
 *
 * <pre>
 * PlatformFleet fleet = PlatformFleet.start(3);
 * fleet.host(0).frontAddress();
 * fleet.stop();
 * </pre>
 */
public final class PlatformFleet {

	/** Host name of all routes. */
	public static final String HOST_NAME = "127.0.0.1";

	/** An API key that is valid from the start. */
	public static final String KEY = "key-of-yard";

	private static final String ENGINE_SERVICE = "engine";

	private static final String PLAIN_SERVICE = "ledger";

	private static final int ENGINES = 2;

	private static final int CAPACITY = 1000;

	private static final GatewaySettings.Bounds BOUNDS = new GatewaySettings.Bounds(2000, 2000, true, 3000, 4000, 0.2,
			54, 10_000, 8000, 0.1, 140_000);

	private final PlatformStandIn store;

	private final List<EndpointStandIn> engines = new ArrayList<>();

	private final EndpointStandIn plain;

	private final List<GatewayHost> hosts = new ArrayList<>();

	private int version;

	private PlatformFleet() throws IOException {
		this.store = PlatformStandIn.start();
		for (int i = 0; i < ENGINES; i++) {
			this.engines.add(EndpointStandIn.start("engine-" + i, ENGINE_SERVICE));
		}
		this.plain = EndpointStandIn.start("ledger-0", PLAIN_SERVICE);
		configure(KEY);
		this.engines.forEach((engine) -> register(engine, "ready"));
		register(this.plain, "ready");
	}

	/**
	 * Starts a fleet.
	 * @param hosts number of gateway hosts
	 * @return the fleet
	 * @throws IOException if a port cannot be bound
	 */
	public static PlatformFleet start(int hosts) throws IOException {
		PlatformFleet fleet = new PlatformFleet();
		for (int i = 0; i < hosts; i++) {
			fleet.addHost(GatewayHost.NO_METRICS);
		}
		return fleet;
	}

	/**
	 * Starts one more gateway host.
	 * @param metricsPort port for metrics, 0 for one that the system chooses, or
	 * {@link GatewayHost#NO_METRICS}
	 * @return the host
	 * @throws IOException if a port cannot be bound
	 */
	public GatewayHost addHost(int metricsPort) throws IOException {
		InetSocketAddress free = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
		GatewaySettings settings = new GatewaySettings("host-" + this.hosts.size(), "a", free, free, free,
				this.store.address(), CAPACITY, BOUNDS);
		GatewayHost host = GatewayHost.start(settings, metricsPort, new PlatformHeaderCodec(),
				(reactor, pool) -> new StoreClient(reactor, pool, this.store.address()));
		this.hosts.add(host);
		return host;
	}

	/**
	 * Writes a new version of the configuration.
	 * @param keys the keys of the only organisation
	 */
	public synchronized void configure(String... keys) {
		this.version++;
		this.store.put("keyed.op", "config", configuration(this.version, keys));
	}

	/**
	 * Returns a configuration with a route of each kind.
	 * @param version its version
	 * @param keys the keys of the only organisation
	 * @return the configuration as the store holds it
	 */
	public static byte[] configuration(int version, String... keys) {
		ObjectNode configuration = Json.object().put("version", version);
		ArrayNode routes = configuration.putArray("routes");
		route(routes, "report", "streaming", ENGINE_SERVICE, 1).put("priority", 0);
		route(routes, "summary", "streaming", ENGINE_SERVICE, 3).put("priority", 1).put("stream-resume", true);
		route(routes, "book", "non_idempotent", PLAIN_SERVICE, 1);
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

	private static ObjectNode route(ArrayNode routes, String name, String kind, String service, int attempts) {
		return routes.addObject()
			.put("name", name)
			.put("host", HOST_NAME)
			.put("path-prefix", "/" + name + "/")
			.put("kind", kind)
			.put("service", service)
			.put("timeout-ms", 5000)
			.put("target-latency-ms", 400)
			.put("max-attempts", attempts);
	}

	/**
	 * Registers an endpoint, as it does itself with each heartbeat.
	 * @param endpoint the endpoint
	 * @param state {@code ready} or {@code draining}
	 */
	public void register(EndpointStandIn endpoint, String state) {
		this.store.put("keyed.servers", endpoint.id(), endpoint.entry(state));
	}

	/**
	 * Returns the store.
	 * @return the stand-in
	 */
	public PlatformStandIn store() {
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
	 * Returns the endpoint of the plain service.
	 * @return the stand-in
	 */
	public EndpointStandIn plain() {
		return this.plain;
	}

	/**
	 * Returns a host.
	 * @param index number of the host, from 0
	 * @return the host
	 */
	public GatewayHost host(int index) {
		return this.hosts.get(index);
	}

	/** Ends everything at once. */
	public void stop() {
		this.hosts.forEach(GatewayHost::kill);
		this.engines.forEach(EndpointStandIn::kill);
		this.plain.kill();
		this.store.stop();
	}

}
