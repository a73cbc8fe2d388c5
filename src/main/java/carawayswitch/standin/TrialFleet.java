package carawayswitch.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.vavr.control.Either;
import org.apache.commons.codec.digest.DigestUtils;

import carawayswitch.host.CarawayHost;
import carawayswitch.message.ConfigurationChange;
import carawayswitch.message.MessageCodec;
import carawayswitch.platform.LogService;
import carawayswitch.settings.Settings;
import carawayswitch.settings.SettingsError;
import carawayswitch.settings.SettingsFile;

/**
 * A fleet in one process: stand-ins for the platform and the endpoints, and hosts, all on
 * real sockets. Not safe for use by several threads.
 *
 * <pre>
 * TrialFleet fleet = TrialFleet.start(List.of("zone-a", "zone-b"), Map.of());
 * fleet.addHost("host-1", "zone-a");
 * fleet.stop();
 * </pre>
 */
public final class TrialFleet {

	/** Operators' token of the hosts. */
	public static final String OPERATOR_TOKEN = "operators-token";

	private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);

	private final LogStandIn log;

	private final HostListStandIn hostList;

	private final EngineStandIn fastEngine;

	private final EngineStandIn slowEngine;

	private final ServiceStandIn ledgerService;

	private final ServiceStandIn statusService;

	private final Map<String, String> settingOverrides;

	private final Map<String, CarawayHost> hosts = new LinkedHashMap<>();

	private TrialFleet(Map<String, String> settingOverrides) throws IOException {
		this.settingOverrides = settingOverrides;
		this.log = LogStandIn.start(ANY_PORT,
				Integer.parseInt(settingOverrides.getOrDefault("trial.retention", "100000")));
		this.hostList = HostListStandIn.start(ANY_PORT, 0);
		this.fastEngine = EngineStandIn.start("engine-fast", ANY_PORT, EngineProfile.FAST);
		this.slowEngine = EngineStandIn.start("engine-slow", ANY_PORT, EngineProfile.SLOW);
		this.ledgerService = ServiceStandIn.start("ledger", ANY_PORT, 5);
		this.statusService = ServiceStandIn.start("status", ANY_PORT, 0);
	}

	/**
	 * Starts the stand-ins and publishes the example configuration.
	 * @param zones availability zones of the endpoints
	 * @param settingOverrides setting by {@code section.key} in place of the default
	 * @return the fleet, without hosts
	 * @throws IOException if an address cannot be bound
	 */
	public static TrialFleet start(List<String> zones, Map<String, String> settingOverrides) throws IOException {
		TrialFleet fleet = new TrialFleet(settingOverrides);
		ExampleConfiguration.EndpointAddresses addresses = new ExampleConfiguration.EndpointAddresses(
				fleet.fastEngine.url(), fleet.slowEngine.url(), fleet.ledgerService.url(), fleet.statusService.url());
		for (ConfigurationChange change : ExampleConfiguration.changes(addresses, zones)) {
			fleet.log.append(LogService.CONFIGURATION_STREAM, MessageCodec.encode(change));
		}
		return fleet;
	}

	/**
	 * Starts a host.
	 * @param id id of the host
	 * @param zone availability zone of the host
	 * @return the host
	 * @throws IOException if an address cannot be bound
	 */
	public CarawayHost addHost(String id, String zone) throws IOException {
		Either<List<SettingsError>, Settings> settings = SettingsFile.parse(id, settingsText(id, zone));
		CarawayHost host = CarawayHost
			.start(settings.getOrElseThrow((errors) -> new IllegalArgumentException(errors.toString())));
		this.hosts.put(id, host);
		InetSocketAddress internal = host.internalAddress();
		this.hostList.put(id, zone, ExampleConfiguration.REGION, internal.getHostString() + ":" + internal.getPort(),
				false);
		return host;
	}

	private String settingsText(String id, String zone) {
		Map<String, String> values = new TreeMap<>();
		values.put("host.id", id);
		values.put("host.region", ExampleConfiguration.REGION);
		values.put("host.zone", zone);
		values.put("http.listen", "127.0.0.1:0");
		values.put("internal.listen", "127.0.0.1:0");
		values.put("internal.secret", "secret-of-the-trial-fleet");
		values.put("operators.token_hash", DigestUtils.sha256Hex(OPERATOR_TOKEN));
		values.put("platform.log_url", this.log.url());
		values.put("platform.hosts_url", this.hostList.url());
		values.put("platform.poll_interval", "100ms");
		values.put("membership.heartbeat_interval", "100ms");
		values.putAll(this.settingOverrides);
		values.keySet().removeIf((key) -> key.startsWith("trial."));
		StringBuilder text = new StringBuilder();
		String section = "";
		for (Map.Entry<String, String> entry : values.entrySet()) {
			String[] path = entry.getKey().split("\\.");
			if (!path[0].equals(section)) {
				section = path[0];
				text.append('[').append(section).append("]\n");
			}
			text.append(path[1]).append(" = ").append(entry.getValue()).append('\n');
		}
		return text.toString();
	}

	/**
	 * Takes a host off the platform's list, as after a stop.
	 * @param id id of the host
	 */
	public void removeHost(String id) {
		this.hosts.remove(id);
		this.hostList.remove(id);
	}

	/**
	 * Returns the running hosts.
	 * @return host by id
	 */
	public Map<String, CarawayHost> hosts() {
		return this.hosts;
	}

	/**
	 * Returns the base URL of a host.
	 * @param id id of the host
	 * @return the URL
	 */
	public String url(String id) {
		InetSocketAddress address = this.hosts.get(id).httpAddress();
		return "http://" + address.getHostString() + ":" + address.getPort();
	}

	/**
	 * Returns the log.
	 * @return the stand-in
	 */
	public LogStandIn log() {
		return this.log;
	}

	/**
	 * Returns the host list.
	 * @return the stand-in
	 */
	public HostListStandIn hostList() {
		return this.hostList;
	}

	/**
	 * Returns the fast engine.
	 * @return the stand-in
	 */
	public EngineStandIn fastEngine() {
		return this.fastEngine;
	}

	/**
	 * Returns the slow engine.
	 * @return the stand-in
	 */
	public EngineStandIn slowEngine() {
		return this.slowEngine;
	}

	/**
	 * Returns the service whose calls must not be repeated.
	 * @return the stand-in
	 */
	public ServiceStandIn ledgerService() {
		return this.ledgerService;
	}

	/**
	 * Returns the service whose calls may be repeated.
	 * @return the stand-in
	 */
	public ServiceStandIn statusService() {
		return this.statusService;
	}

	/**
	 * Ends everything at once.
	 */
	public void stop() {
		new ArrayList<>(this.hosts.values()).forEach(CarawayHost::kill);
		this.hosts.clear();
		this.fastEngine.stop();
		this.slowEngine.stop();
		this.ledgerService.stop();
		this.statusService.stop();
		this.hostList.stop();
		this.log.stop();
	}

}
