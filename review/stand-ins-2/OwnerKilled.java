import java.nio.file.Path;
import java.util.List;

/**
 * The gateway that decides on places is killed. The clients of one tenant, which asks for 7.5 times
 * what it usually does, were connected to it, and go on at the others.
 */
public final class OwnerKilled {

	private static final int RATE = 90_000;

	private static final int USUAL = (int) (RATE / 1.8);

	private static final long WINDOW_MILLIS = 8000;

	private static final double ALLOWED = (RATE * 8 + RATE) * 1.1 + 140_000;

	public static void main(String[] arguments) {
		Fleet.run((trouble) -> {
			try (Fleet fleet = new Fleet(Path.of(arguments[0]), 3, Fleet.CONTRACTS)) {
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
		// The log of a gateway tells which one decides.
		fleet.client.stream(fleet.gateways.get(0), "/draft/a", "key-t2", 3000, 100, "b000");
		Thread.sleep(10_000);
		String ownerName = fleet.gateways.get(0).owner;
		Gateway owner = fleet.gateways.stream()
			.filter((gateway) -> gateway.name.equals(ownerName))
			.findFirst()
			.orElseThrow(Fleet.CannotRun::new);
		List<Gateway> others = fleet.gateways.stream().filter((gateway) -> gateway != owner).toList();
		fleet.note("gateway that decides on places: " + ownerName);
		Thread before = fleet.load(List.of(owner), "key-t1", (int) (USUAL * 7.5));
		fleet.note("t1 asks for 7.5 times its usual tokens at " + ownerName);
		Thread.sleep(3500);
		before.interrupt();
		if (trouble) {
			owner.kill();
			fleet.note("SIGKILL of " + ownerName);
		}
		Thread after = fleet.load(others, "key-t1", (int) (USUAL * 7.5));
		fleet.note("t1 goes on at the other gateways");
		Thread.sleep(3000);
		after.interrupt();
		fleet.note("t1 asks for no more");
		Thread.sleep(2000);
		fleet.recordAll();
		fleet.recordLogs(".*event=(pool\\.owner\\.changed|view\\.changed|cap\\.use\\.read).*", 20);
		return fleet.tokensHold("t1", WINDOW_MILLIS, ALLOWED);
	}

}
