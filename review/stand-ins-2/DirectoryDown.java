import java.nio.file.Path;
import java.util.List;

/**
 * All gateways are killed and start again while the part of the store that holds keyed.status is
 * down. Meanwhile one tenant asks for 7.5 times what it usually does.
 */
public final class DirectoryDown {

	private static final int RATE = 180_000;

	private static final int USUAL = (int) (RATE / 1.8);

	private static final long WINDOW_MILLIS = 8000;

	private static final double ALLOWED = (RATE * 8 + RATE) * 1.1 + 140_000;

	public static void main(String[] arguments) {
		Fleet.run((trouble) -> {
			try (Fleet fleet = new Fleet(Path.of(arguments[0]), 4, Fleet.CONTRACTS)) {
				return holds(fleet, trouble);
			}
		});
	}

	private static boolean holds(Fleet fleet, boolean trouble) throws Exception {
		for (int i = 1; i <= 4; i++) {
			fleet.addWorker("i-" + i, "llm", 4, 10);
		}
		fleet.writeConfig(1, List.of(Fleet.tenant("t1", "\"key-t1\"", RATE), Fleet.tenant("t2", "\"key-t2\"", RATE)));
		fleet.start();
		fleet.note("all gateways are ready");
		Thread usual = fleet.load(fleet.gateways, "key-t1", USUAL);
		Thread.sleep(9000);
		if (trouble) {
			fleet.note("SIGKILL of all gateways");
			for (Gateway gateway : fleet.gateways) {
				gateway.signal("KILL");
			}
		}
		usual.interrupt();
		Thread hot = fleet.load(fleet.gateways, "key-t1", (int) (USUAL * 7.5));
		fleet.note("t1 asks for 7.5 times its usual tokens");
		Thread.sleep(400);
		if (trouble) {
			for (Gateway gateway : fleet.gateways) {
				gateway.process.waitFor();
				gateway.start(false);
			}
			fleet.note("all gateways are started again");
			// Before any of them can have read a record.
			Thread.sleep(250);
			fleet.store.downTopics.add("keyed.status");
			fleet.note("the store answers calls on keyed.status with 503");
		}
		Thread.sleep(4400);
		fleet.store.downTopics.clear();
		fleet.note("the store answers all calls");
		Thread.sleep(1300);
		hot.interrupt();
		fleet.note("t1 asks for no more");
		Thread.sleep(3000);
		fleet.recordAll();
		fleet.recordLogs(".*event=(pool\\.owner\\.changed|view\\.changed|startup\\.ended).*", 20);
		return fleet.tokensHold("t1", WINDOW_MILLIS, ALLOWED);
	}

}
