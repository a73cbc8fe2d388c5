package carawayswitch.schedule;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.List;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Rule that rejects requests whose prompt has all of the given segments. An expired rule
 * rejects nothing, but is kept for a while: a further crash renews it at once. Immutable.
 * Times are milliseconds.
 *
 * @param segments ids of the segments in alphabetical order
 * @param expiresAt time at which the rule expires
 * @param durationMillis time for which the rule was made
 */
public record QuarantineRule(List<String> segments, long expiresAt, long durationMillis) {

	/** Duration of a new rule in milliseconds. */
	static final long INITIAL_MILLIS = 600_000;

	/** Longest duration of a rule that was renewed several times, in milliseconds. */
	static final long MAX_MILLIS = 28_800_000;

	/**
	 * Creates a rule.
	 */
	public QuarantineRule {
		segments = segments.stream().distinct().sorted().toList();
	}

	static QuarantineRule of(Collection<String> segments, long now) {
		return new QuarantineRule(List.copyOf(segments), now + INITIAL_MILLIS, INITIAL_MILLIS);
	}

	QuarantineRule renewed(long now) {
		long millis = Math.min(MAX_MILLIS, this.durationMillis * 2);
		return new QuarantineRule(this.segments, now + millis, millis);
	}

	QuarantineRule without(Collection<String> harmless) {
		return new QuarantineRule(this.segments.stream().filter((segment) -> !harmless.contains(segment)).toList(),
				this.expiresAt, this.durationMillis);
	}

	/**
	 * Returns the name of the rule, which is the same on all hosts.
	 * @return hash of the segments
	 */
	public String name() {
		long[] hash = MurmurHash3.hash128x64(String.join(",", this.segments).getBytes(StandardCharsets.UTF_8));
		return String.format("%016x%016x", hash[0], hash[1]);
	}

	boolean matches(Collection<String> promptSegments) {
		return !this.segments.isEmpty() && promptSegments.containsAll(this.segments);
	}

	boolean active(long now) {
		return now < this.expiresAt;
	}

	boolean forgotten(long now) {
		return now >= this.expiresAt + this.durationMillis;
	}

}
