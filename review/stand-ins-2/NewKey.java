import java.nio.file.Path;
import java.util.List;

/**
 * A config gives a tenant without keys its first one while the store turns one gateway away: the
 * one that decides on places. The tenant then asks for several times its cap at the other gateways.
 */
public final class NewKey {

	private static final int RATE = 30_000;

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
		String other = Fleet.tenant("t2", "\"key-t2\"", RATE);
		fleet.writeConfig(1, List.of(Fleet.tenant("t1", "", RATE), other));
		fleet.start();
		fleet.note("all gateways are ready");
		// The log of a gateway tells which one decides.
		fleet.client.stream(fleet.gateways.get(0), "/draft/a", "key-t2", 3000, 100, "b000");
		Thread.sleep(10_000);
		String owner = fleet.gateways.get(0).owner;
		List<Gateway> others = fleet.gateways.stream().filter((gateway) -> !gateway.name.equals(owner)).toList();
		fleet.note("gateway that decides on places: " + owner);
		if (others.size() != 2) {
			throw new Fleet.CannotRun();
		}
		if (trouble) {
			fleet.store.refused.add(owner);
			fleet.note("the store answers calls of " + owner + " with 503");
		}
		Thread.sleep(500);
		fleet.writeConfig(2, List.of(Fleet.tenant("t1", "\"key-t1\"", RATE), other));
		fleet.note("the config gives t1 its first key");
		Thread.sleep(1000);
		Thread hot = fleet.load(others, "key-t1", (int) (USUAL * 7.5));
		fleet.note("t1 asks for 7.5 times its usual tokens");
		Thread.sleep(6500);
		hot.interrupt();
		fleet.store.refused.clear();
		fleet.note("the store answers all calls; t1 asks for no more");
		Thread.sleep(2000);
		fleet.recordAll();
		return fleet.tokensHold("t1", WINDOW_MILLIS, ALLOWED);
	}

}
