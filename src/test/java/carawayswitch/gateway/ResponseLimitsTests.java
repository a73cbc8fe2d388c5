package carawayswitch.gateway;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the limits of responses. Guards against bodies that exceed the memory of a host
 * together, and against streams that are cut although their client stated no length.
 */
class ResponseLimitsTests {

	private static final int PART_BYTES = 1024 * 1024;

	private final ResponseLimits limits = new ResponseLimits();

	@Test
	void bodyIsLimitedByItself() {
		assertThat(this.limits.reserve(ResponseLimits.MAX_BODY_BYTES, PART_BYTES)).isTrue();
		assertThat(this.limits.reserve(ResponseLimits.MAX_BODY_BYTES + 1L, PART_BYTES)).isFalse();
		assertThat(this.limits.bufferedBytes()).isEqualTo(PART_BYTES);
	}

	@Test
	void bodiesAreLimitedTogetherUntilTheyAreReleased() {
		int parts = ResponseLimits.MAX_BUFFERED_BYTES / PART_BYTES;
		for (int i = 0; i < parts; i++) {
			assertThat(this.limits.reserve(PART_BYTES, PART_BYTES)).isTrue();
		}
		assertThat(this.limits.reserve(PART_BYTES, PART_BYTES)).isFalse();
		this.limits.release(PART_BYTES);
		assertThat(this.limits.reserve(PART_BYTES, PART_BYTES)).isTrue();
	}

	@ParameterizedTest
	@CsvSource({ "50, 114", "0, 9223372036854775807" })
	void eventsAreLimitedByTheStatedLengthOfTheAnswer(int maxOutputTokens, long maxEvents) {
		assertThat(ResponseLimits.maxEvents(maxOutputTokens)).isEqualTo(maxEvents);
	}

}
