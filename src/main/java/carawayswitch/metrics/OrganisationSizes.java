package carawayswitch.metrics;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicReference;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;

/**
 * Classes organisations by what they asked for lately, so that metrics need no label for
 * each organisation. Safe for use by several threads.
 */
public final class OrganisationSizes {

	private static final long WINDOW_MILLIS = 60_000;

	private static final long FORGET_MILLIS = 10 * WINDOW_MILLIS;

	private static final double LARGE_FACTOR = 5;

	private final Cache<String, Usage> usages = Caffeine.newBuilder()
		.expireAfterAccess(Duration.ofMillis(FORGET_MILLIS))
		.build();

	private final AtomicReference<Usage> total = new AtomicReference<>(new Usage(0, 0));

	/**
	 * Records usage and returns the class of the organisation.
	 * @param organisation qualified name of the organisation
	 * @param tokens tokens of the request
	 * @param now time in milliseconds
	 * @return {@code large} or {@code small}
	 */
	public String sizeOf(String organisation, double tokens, long now) {
		Usage own = this.usages.asMap()
			.merge(organisation, new Usage(tokens, now), (known, fresh) -> known.add(fresh.tokens(), now));
		Usage all = this.total.updateAndGet((known) -> known.add(tokens, now));
		double mean = all.tokens() / Math.max(1, this.usages.estimatedSize());
		return (own.tokens() > LARGE_FACTOR * mean) ? "large" : "small";
	}

	private record Usage(double tokens, long at) {

		Usage add(double more, long now) {
			double kept = this.tokens * Math.exp(-(double) (now - this.at) / WINDOW_MILLIS);
			return new Usage(kept + more, now);
		}

	}

}
