import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One of ten model workers goes down and up by turns, four times another one. It starts
 * again under its id with software of another version, and streams begin there before it
 * goes down again.
 */
final class CaseRestart {

	private static final String KEY = "i9n73hh2b9wu3fexd9dn";

	private static final int STREAMS = 60;

	private static final int EVENTS = 60;

	private static final int EVENT_MILLIS = 120;

	private static final int WORKERS = 10;

	private static final int ROUNDS = 4;

	private static final int DOWN_MILLIS = 300;

	private static final int UP_MILLIS = 1100;

	/** Time from the start of the worker to the begin of the streams. */
	private static final int STREAMS_AFTER_MILLIS = 20;

	private CaseRestart() {
	}

	public static void main(String[] args) {
		Fleet.run(args[0], CaseRestart::run);
	}

	private static int run(Fleet fleet) throws Exception {
		fleet.store.put("keyed.op", "config", Configs.engine(1, KEY));
		List<Engine> engines = new ArrayList<>();
		for (int i = 0; i < WORKERS; i++) {
			Engine engine = new Engine(fleet.store, "i-7f3a91c" + i, EVENTS, EVENT_MILLIS);
			engine.start("v1", 0);
			engines.add(engine);
		}
		List<Fleet.Gateway> gateways = new ArrayList<>();
		for (int i = 0; i < 2; i++) {
			gateways.add(fleet.start("edge-a-" + (i + 1), fleet.store.address()));
		}
		// The caps of organisations are granted in full once a window has passed.
		Thread.sleep(9000);
		AtomicInteger joined = new AtomicInteger();
		for (int i = 0; i < ROUNDS; i++) {
			playRound(fleet, i, engines.get(i), gateways, joined);
		}
		fleet.note(joined + " streams hold events of two versions");
		return (joined.get() > 2) ? Fleet.BROKEN : Fleet.OK;
	}

	private static void playRound(Fleet fleet, int round, Engine engine, List<Fleet.Gateway> gateways,
			AtomicInteger joined) throws Exception {
		if (fleet.trouble) {
			engine.crash();
			fleet.note("worker " + round + " goes down");
			Thread.sleep(DOWN_MILLIS);
			engine.start("v2", 0);
			fleet.note("worker " + round + " starts again under its id with v2 and registers");
			Thread.sleep(STREAMS_AFTER_MILLIS);
		}
		Thread[] clients = new Thread[STREAMS];
		for (int i = 0; i < STREAMS; i++) {
			String id = String.format("%06x%06x", round + 1, i + 1);
			Fleet.Gateway gateway = gateways.get(i % gateways.size());
			clients[i] = Server.daemon(() -> {
				String text = "";
				String end = "";
				String lastEvent = "";
				// The client takes a stream up once after a broken channel.
				for (int attempt = 0; attempt < 2 && !end.endsWith(" complete"); attempt++) {
					try (Fleet.Client client = gateway.connect()) {
						client.send("POST", "/pufi791/2f", (attempt == 0) ? id : "take-up-" + id, 10_000, KEY,
								"X-Model: m\r\nX-Token-Usage: 628,600\r\nX-Prompt-Prefix: 5c1e07a2:60," + id + ":568\r\n"
										+ (lastEvent.isEmpty() ? ""
												: "Last-Event-Id: " + lastEvent + "\r\nResumes: " + id + "\r\n"),
								new byte[800]);
						Http.Message answer = client.receive(14_000);
						end += "; status " + answer.head().status() + (answer.complete() ? ", complete" : ", broken off");
						text += new String(answer.body(), StandardCharsets.ISO_8859_1);
						Matcher last = Pattern.compile("id: (\\d+)\n").matcher(text);
						while (last.find()) {
							lastEvent = last.group(1);
						}
					}
					catch (IOException ex) {
						end += "; " + ex.getMessage();
					}
				}
				StringBuilder events = new StringBuilder();
				TreeSet<String> versions = new TreeSet<>();
				Matcher matcher = Pattern.compile("id: (\\d+)\ndata: (\\S+)\n").matcher(text);
				String before = "";
				while (matcher.find()) {
					if (!matcher.group(2).equals(before)) {
						before = matcher.group(2);
						events.append(" from event ").append(matcher.group(1)).append(' ').append(before);
					}
					versions.add(before);
				}
				if (versions.size() > 1) {
					joined.incrementAndGet();
				}
				fleet.note("stream " + id + ":" + events + end);
			});
		}
		Thread.sleep(UP_MILLIS - STREAMS_AFTER_MILLIS);
		if (fleet.trouble) {
			engine.crash();
			fleet.note("worker " + round + " goes down");
			Thread.sleep(DOWN_MILLIS);
			engine.start("v2", 0);
			fleet.note("worker " + round + " starts again under its id with v2 and registers");
		}
		for (Thread client : clients) {
			client.join();
		}
	}

}
