package carawayswitch.route;

/**
 * What the configuration says of a service. Immutable.
 *
 * @param name name of the service
 * @param maxConnections connections that one endpoint accepts
 * @param engine true if its endpoints are model engines
 * @param engineSlots requests that an engine runs at once; 0 for plain services
 * @param kvTokens memory of an engine in tokens; 0 for plain services
 * @param tokensPerEvent tokens that one event of a stream holds
 */
public record ServicePolicy(String name, int maxConnections, boolean engine, int engineSlots, long kvTokens,
		int tokensPerEvent) {

}
