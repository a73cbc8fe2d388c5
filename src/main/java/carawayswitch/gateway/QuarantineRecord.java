package carawayswitch.gateway;

import java.util.List;

import carawayswitch.schedule.QuarantineRule;

/**
 * Quarantine rule as it is stored. Immutable.
 *
 * @param name name of the rule
 * @param segments ids of the segments of the prompt
 * @param expiresAtWallMillis time at which the rule expires in milliseconds since the
 * epoch
 * @param durationMillis time for which the rule was made in milliseconds
 */
public record QuarantineRecord(String name, List<String> segments, long expiresAtWallMillis, long durationMillis) {

	static QuarantineRecord of(QuarantineRule rule, long monotonicMillis, long wallMillis) {
		return new QuarantineRecord(rule.name(), rule.segments(), wallMillis + rule.expiresAt() - monotonicMillis,
				rule.durationMillis());
	}

	QuarantineRule rule(long monotonicMillis, long wallMillis) {
		return new QuarantineRule(this.segments, monotonicMillis + this.expiresAtWallMillis - wallMillis,
				this.durationMillis);
	}

}
