package carawayswitch.metrics;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicReference;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;

/**
 * Classifies organisations as large or small by their recent token usage relative to the
 * mean of all organisations, so that metrics do not need a label value for each
 * organisation. Safe for use by several threads.
 */
public final class OrganisationSizeClassifier {

	/** Time constant of the exponential decay of usage. */
	private static final long DECAY_TIME_MILLIS = 60_000;

	/** Time without a request after which an organisation is removed. */
	private static final long EXPIRY_MILLIS = 10 * DECAY_TIME_MILLIS;

	/** Multiple of the mean usage above which an organisation counts as large. */
	private static final double LARGE_FACTOR = 5;

	private final Cache<String, DecayedUsage> usages = Caffeine.newBuilder()
		.expireAfterAccess(Duration.ofMillis(EXPIRY_MILLIS))
		.build();

	private final AtomicReference<DecayedUsage> total = new AtomicReference<>(new DecayedUsage(0, 0));

	/**
	 * Records the usage of a request and returns the size class of its organisation.
	 * @param organisation qualified name of the organisation
	 * @param tokens tokens of the request
	 * @param nowMillis current time in milliseconds
	 * @return {@code large} or {@code small}
	 */
	public String recordAndClassify(String organisation, double tokens, long nowMillis) {
		DecayedUsage organisationUsage = this.usages.asMap()
			.merge(organisation, new DecayedUsage(tokens, nowMillis),
					(previous, added) -> previous.plus(added.tokens(), nowMillis));
		DecayedUsage totalUsage = this.total.updateAndGet((previous) -> previous.plus(tokens, nowMillis));
		double meanTokens = totalUsage.tokens() / Math.max(1, this.usages.estimatedSize());
		return (organisationUsage.tokens() > LARGE_FACTOR * meanTokens) ? "large" : "small";
	}

	private record DecayedUsage(double tokens, long atMillis) {

		DecayedUsage plus(double addedTokens, long nowMillis) {
			double decayedTokens = this.tokens * Math.exp(-(double) (nowMillis - this.atMillis) / DECAY_TIME_MILLIS);
			return new DecayedUsage(decayedTokens + addedTokens, nowMillis);
		}

	}

}
