package carawayswitch.gateway;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import carawayswitch.message.RelayReply;
import carawayswitch.route.Confirmation;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of records that hosts pass on, without hosts.
 */
class RelayLogTests {

	private final RelayLog<String> log = new RelayLog<>();

	private final Map<String, String> truth = new HashMap<>();

	private long offset;

	private static BeliefSource.Page<String> page(Map<String, String> values, long nextOffset) {
		Map<String, Optional<String>> entries = new LinkedHashMap<>();
		Map<String, byte[]> bytes = new LinkedHashMap<>();
		values.forEach((name, value) -> {
			entries.put(name, value.isEmpty() ? Optional.empty() : Optional.of(value));
			bytes.put(name, value.getBytes(StandardCharsets.UTF_8));
		});
		return new BeliefSource.Page<>(entries, bytes, nextOffset, false, null);
	}

	private void read(Map<String, String> values, boolean whole, long now) {
		this.offset += Math.max(1, values.size());
		if (whole) {
			this.truth.clear();
		}
		values.forEach((name, value) -> {
			if (value.isEmpty()) {
				this.truth.remove(name);
			}
			else {
				this.truth.put(name, value);
			}
		});
		this.log.update(page(values, this.offset), whole, new Confirmation(now, now));
	}

	private RelayReply answer(long from, long steady, long wall) {
		return this.log.answer(1, from, new Confirmation(steady, wall), new Confirmation(steady, wall));
	}

	private static void take(Map<String, String> known, RelayReply reply) {
		if (reply.whole()) {
			known.clear();
		}
		reply.records().forEach((each) -> {
			String value = new String(RecordCompression.decompress(each).get(), StandardCharsets.UTF_8);
			if (value.isEmpty()) {
				known.remove(each.name());
			}
			else {
				known.put(each.name(), value);
			}
		});
	}

	@Property(tries = 300)
	void hostThatTakesInAllAnswersKnowsTheNewestRecords(
			@ForAll @Size(min = 1, max = 60) List<@IntRange(max = 199) Integer> steps, @ForAll boolean late) {
		Map<String, String> known = new HashMap<>();
		long from = -1;
		read(Map.of("n0", "first"), true, 0);
		for (int step : steps) {
			String name = "n" + step % 5;
			String value = (step % 3 == 0) ? "" : "v" + step % 7;
			read(Map.of(name, value), step % 50 == 0, 0);
			if (!late || step % 4 == 0) {
				RelayReply reply = answer(from, 0, 0);
				take(known, reply);
				from = Math.max(from, reply.nextOffset());
			}
		}
		take(known, answer(from, 0, 0));
		assertThat(known).isEqualTo(this.truth);
	}

	@Test
	void heartbeatThatChangesNothingIsNoNews() {
		read(Map.of("engine-1", "ready"), true, 0);
		long from = answer(-1, 0, 0).nextOffset();
		read(Map.of("engine-1", "ready"), false, 10);
		assertThat(this.log.news(from)).isFalse();
		assertThat(answer(from, 10, 10).records()).isEmpty();
		assertThat(answer(from, 10, 10).nextOffset()).isGreaterThan(from);
	}

	@ParameterizedTest
	@CsvSource({ "100, 100, 100", "100, 900, 900", "500, 100, 500" })
	void answerIsAsOldAsItsReadByEitherClock(long steady, long wall, long age) {
		read(Map.of("config", "1"), true, 0);
		assertThat(answer(0, steady, wall).ageMillis()).isEqualTo(age);
	}

	@Test
	void readWhileTheAskWaitedMakesTheAnswerYoungerThanTheAsk() {
		read(Map.of("config", "1"), true, 700);
		RelayReply reply = this.log.answer(1, 0, new Confirmation(200, 200), new Confirmation(1000, 1000));
		assertThat(reply.ageMillis()).isEqualTo(-500);
	}

	@Test
	void hostWhoseClockWentBackOrWhoseReadsFailDoesNotVouchForItsRecords() {
		read(Map.of("config", "1"), true, 10_000);
		assertThat(answer(0, 10_100, 8000).current()).isFalse();
		this.log.current(false);
		assertThat(answer(0, 10_100, 10_100).current()).isFalse();
		this.log.current(true);
		assertThat(answer(0, 10_100, 10_100).current()).isTrue();
	}

	@Test
	void hostThatHasReadNothingDoesNotVouch() {
		assertThat(answer(-1, 0, 0).current()).isFalse();
	}

	@Test
	void hostThatKnowsLessThanTheLogIsToldEverything() {
		read(Map.of("a", "1", "b", "2"), true, 0);
		assertThat(answer(0, 0, 0).whole()).isTrue();
		assertThat(answer(this.offset, 0, 0).whole()).isFalse();
	}

	@Test
	void removedNamesAreForgottenInTheEndAndOldHostsAreToldEverything() {
		read(Map.of("a", "1"), true, 0);
		long from = this.offset;
		for (int i = 0; i <= RelayLog.MAX_REMOVED; i++) {
			read(Map.of("gone-" + i, "x"), false, 0);
			read(Map.of("gone-" + i, ""), false, 0);
		}
		RelayReply reply = answer(from, 0, 0);
		assertThat(reply.whole()).isTrue();
		assertThat(reply.records()).hasSize(1);
	}

	@ParameterizedTest
	@ValueSource(ints = { 0, 100, RecordCompression.MIN_COMPRESSIBLE_BYTES, 500_000 })
	void valuesComeOutAsTheyWentIn(int length) {
		byte[] value = "configuration ".repeat(length / 14 + 1).substring(0, length).getBytes(StandardCharsets.UTF_8);
		assertThat(RecordCompression.decompress(RecordCompression.compress("config", value)).get()).isEqualTo(value);
	}

}
