package carawayswitch.schedule;

/**
 * Configuration of one engine of a pool. Immutable.
 *
 * @param id id of the engine
 * @param version version of its software
 * @param zone availability zone of the engine
 * @param slots most requests that it runs concurrently
 * @param kvTokens capacity of its KV cache in tokens of prompts and answers; 0 if
 * unknown, which disables the check
 */
public record PoolEngine(String id, String version, String zone, int slots, long kvTokens) {

}
