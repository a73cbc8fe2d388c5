package carawayswitch.guard;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Kinds of injected faults and their probabilities. The rate of each kind applies to a
 * step of the simulation, the other rates to a message, all in parts per thousand.
 */
record FaultRates(List<Kind> kinds, int perKindPermille, int lossPermille, int duplicationPermille,
		int longDelayPermille) {

	List<Kind> draw(SplittableRandom random) {
		List<Kind> drawn = new ArrayList<>();
		for (Kind kind : this.kinds) {
			if (random.nextInt(1000) < this.perKindPermille) {
				drawn.add(kind);
			}
		}
		return drawn;
	}

	enum Kind {

		PAUSE, CRASH, PLANNED_STOP, PARTITION, LOG_OUTAGE

	}

}
