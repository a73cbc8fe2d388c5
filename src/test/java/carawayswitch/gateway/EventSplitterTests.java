package carawayswitch.gateway;

import java.nio.charset.StandardCharsets;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that streams are cut between events only, however the bytes arrive.
 */
class EventSplitterTests {

	private static final String STREAM = "id: 1\ndata: a\n\nid: 2\ndata: id: 9\n\nid: 3\nda";

	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3, 7, 13, 100 })
	void wholeEventsPassAndAPartStays(int size) {
		EventSplitter splitter = new EventSplitter();
		StringBuilder passed = new StringBuilder();
		byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
		for (int from = 0; from < bytes.length; from += size) {
			byte[] piece = java.util.Arrays.copyOfRange(bytes, from, Math.min(bytes.length, from + size));
			passed.append(new String(splitter.add(piece), StandardCharsets.UTF_8));
		}
		assertThat(passed.toString()).isEqualTo("id: 1\ndata: a\n\nid: 2\ndata: id: 9\n\n");
		assertThat(splitter.lastId()).isEqualTo("2");
		assertThat(splitter.events()).isEqualTo(2);
		assertThat(splitter.partial()).isTrue();
	}

	@ParameterizedTest
	@ValueSource(strings = { "id: 4\ndata: x\n\n", "id:4\r\ndata: x\r\n\r\n", "v: 1\nid: 4\ndata: x\n\n" })
	void streamGoesOnAfterABreak(String next) {
		EventSplitter splitter = new EventSplitter();
		splitter.add(STREAM.getBytes(StandardCharsets.UTF_8));
		splitter.dropPartial();
		assertThat(splitter.add(next.getBytes(StandardCharsets.UTF_8))).hasSize(next.length());
		assertThat(splitter.lastId()).isEqualTo("4");
		assertThat(splitter.partial()).isFalse();
	}

}
