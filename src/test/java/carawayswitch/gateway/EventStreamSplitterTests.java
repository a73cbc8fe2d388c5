package carawayswitch.gateway;

import java.nio.charset.StandardCharsets;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a stream is split only at event boundaries, whatever the sizes of the chunks
 * in which its bytes arrive. Guards against a broken stream of which a part of an event
 * is forwarded.
 */
class EventStreamSplitterTests {

	private static final String STREAM = "id: 1\ndata: a\n\nid: 2\ndata: id: 9\n\nid: 3\nda";

	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3, 7, 13, 100 })
	void completeEventsAreReturnedAndIncompleteEventIsKept(int size) {
		EventStreamSplitter splitter = new EventStreamSplitter();
		StringBuilder passed = new StringBuilder();
		byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
		for (int from = 0; from < bytes.length; from += size) {
			byte[] piece = java.util.Arrays.copyOfRange(bytes, from, Math.min(bytes.length, from + size));
			passed.append(new String(splitter.add(piece), StandardCharsets.UTF_8));
		}
		assertThat(passed.toString()).isEqualTo("id: 1\ndata: a\n\nid: 2\ndata: id: 9\n\n");
		assertThat(splitter.lastEventId()).isEqualTo("2");
		assertThat(splitter.eventCount()).isEqualTo(2);
		assertThat(splitter.hasIncompleteEvent()).isTrue();
	}

	@ParameterizedTest
	@ValueSource(strings = { "id: 4\ndata: x\n\n", "id:4\r\ndata: x\r\n\r\n", "v: 1\nid: 4\ndata: x\n\n" })
	void streamContinuesAfterIncompleteEventIsDiscarded(String next) {
		EventStreamSplitter splitter = new EventStreamSplitter();
		splitter.add(STREAM.getBytes(StandardCharsets.UTF_8));
		splitter.discardIncompleteEvent();
		assertThat(splitter.add(next.getBytes(StandardCharsets.UTF_8))).hasSize(next.length());
		assertThat(splitter.lastEventId()).isEqualTo("4");
		assertThat(splitter.hasIncompleteEvent()).isFalse();
	}

}
