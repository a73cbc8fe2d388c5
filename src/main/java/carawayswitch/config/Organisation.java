package carawayswitch.config;

/**
 * A customer with its share of the capacity and its admission limit. Immutable.
 *
 * @param tokenHash SHA-256 of the bearer token in hexadecimal
 * @param region home region, which deduplicates the organisation's idempotency keys
 * @param weight weight in fair queueing between organisations, 1 to 100; 0 stands for 1
 * @param tokensPerSecond admission limit in tokens per second over all hosts, or 0 for
 * none
 */
public record Organisation(String tokenHash, String region, int weight, long tokensPerSecond) implements Entity {

	private static final int MAX_WEIGHT = 100;

	public Organisation {
		weight = (weight != 0) ? weight : 1;
	}

	@Override
	public String validationError() {
		if (this.tokenHash == null || !this.tokenHash.matches("[0-9a-f]{64}")) {
			return "token_hash is not valid; valid: 64 hexadecimal digits in lower case";
		}
		if (this.region == null || this.region.isBlank()) {
			return "region is not set; valid: the name of a region";
		}
		if (this.weight < 1 || this.weight > MAX_WEIGHT) {
			return "weight is " + this.weight + "; valid: 1 to " + MAX_WEIGHT;
		}
		return (this.tokensPerSecond >= 0) ? "" : "tokens_per_second is negative; valid: 0 or more";
	}

}
