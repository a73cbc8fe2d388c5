package carawayswitch.schedule;

/**
 * An engine of a pool as the configuration knows it. Immutable.
 *
 * @param id id of the engine
 * @param zone its availability zone
 * @param slots requests that it runs at once
 * @param kvTokens memory for prompts and answers in tokens; 0 if it is not known
 */
public record PoolEngine(String id, String zone, int slots, long kvTokens) {

}
