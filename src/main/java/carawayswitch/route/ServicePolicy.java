package carawayswitch.route;

/**
 * Configured limits of a service. Immutable.
 *
 * @param name name of the service
 * @param maxConnections maximum number of connections that one endpoint accepts
 * @param engine true if its endpoints are model engines
 * @param engineSlots number of requests that an engine runs concurrently; 0 for plain
 * services
 * @param kvTokens capacity of an engine's KV cache in tokens; 0 for plain services
 * @param tokensPerEvent number of tokens in one event of a stream
 */
public record ServicePolicy(String name, int maxConnections, boolean engine, int engineSlots, long kvTokens,
		int tokensPerEvent) {

}
