package carawayswitch.measure;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;

/**
 * Workloads with the shapes of both fleets' days. Times are milliseconds. Immutable.
 */
enum Workload {

	/** An ordinary day of the first fleet. */
	STEADY_SABARMATI(2) {
		@Override
		List<Stream> streams() {
			return sabarmati(1);
		}
	},

	/** An ordinary day of the second fleet. */
	STEADY_MWANGAZA(3) {
		@Override
		List<Stream> streams() {
			return mwangaza(1);
		}
	},

	/** An ordinary day of both fleets on one pool. */
	MERGED(4) {
		@Override
		List<Stream> streams() {
			return both(0.5);
		}
	},

	/** The most urgent work floods in at the end of a month. */
	REPORT_FLOOD(4) {
		@Override
		List<Stream> streams() {
			return with(both(0.4), Stream.flood(WorkKind.REPORT, 10, FLOOD_FROM, FLOOD_TO));
		}
	},

	/** Buyers rush in with chats. */
	BUYER_RUSH(4) {
		@Override
		List<Stream> streams() {
			return with(both(0.4), Stream.flood(WorkKind.CHAT, 10, FLOOD_FROM, FLOOD_TO));
		}
	},

	/** Work of middle urgency floods in. */
	NOTE_FLOOD(4) {
		@Override
		List<Stream> streams() {
			return with(both(0.4), Stream.flood(WorkKind.NOTE, 10, FLOOD_FROM, FLOOD_TO));
		}
	},

	/** The least urgent work floods in, then the most urgent. */
	LEAST_THEN_MOST(4) {
		@Override
		List<Stream> streams() {
			long middle = (FLOOD_FROM + FLOOD_TO) / 2;
			return with(both(0.4), Stream.flood(WorkKind.TAG, 10, FLOOD_FROM, middle),
					Stream.flood(WorkKind.REPORT, 10, middle, FLOOD_TO));
		}
	},

	/** Less urgent work makes up an overload of three times the capacity. */
	OVERLOAD(4) {
		@Override
		List<Stream> streams() {
			return List.of(Stream.steady(WorkKind.REPORT, 0.15, END), Stream.steady(WorkKind.ORDER, 0.1, END),
					Stream.steady(WorkKind.SUMMARY, 0.7, END), Stream.steady(WorkKind.TAG, 0.5, END),
					Stream.steady(WorkKind.CHAT, 0.8, END), Stream.steady(WorkKind.DRAFT, 0.75, END));
		}
	},

	/** One engine becomes five times slower. */
	STRAGGLER(4) {
		@Override
		List<Stream> streams() {
			return both(0.5);
		}

		@Override
		void disturb(List<FakeEngine> engines, EventQueue clock) {
			clock.after(FLOOD_FROM, () -> engines.get(0).slowdown(STRAGGLER_FACTOR));
		}
	},

	/** Hosts see loads that are seconds old. */
	STALE_REPORTS(4) {
		@Override
		List<Stream> streams() {
			return both(0.5);
		}

		@Override
		long digestMillis() {
			return STALE_DIGEST_MILLIS;
		}
	},

	/** One organisation asks for a hundred times as much as each of the others. */
	LARGE_ORGANISATION(4) {
		@Override
		List<Stream> streams() {
			return with(with(both(0.3), Stream.steady(WorkKind.CHAT, 0.2, END).withOrganisations(20, 1)),
					new Stream(WorkKind.CHAT, 1, 0, END, 0, 1, 0.5, true));
		}
	},

	/** Lengths differ a hundredfold. */
	LENGTHS(4) {
		@Override
		List<Stream> streams() {
			return both(0.45).stream().map((stream) -> stream.withLengthSpread(1.2)).toList();
		}
	},

	/** An engine is lost in the middle of a flood. */
	ENGINE_LOST(4) {
		@Override
		List<Stream> streams() {
			return with(both(0.4), Stream.flood(WorkKind.CHAT, 10, FLOOD_FROM, FLOOD_TO));
		}

		@Override
		void disturb(List<FakeEngine> engines, EventQueue clock) {
			clock.after((FLOOD_FROM + FLOOD_TO) / 2.0, () -> engines.get(0).lose());
		}
	};

	/** End of the arrivals. */
	static final long END = 60_000;

	/** Begin of floods. */
	static final long FLOOD_FROM = 15_000;

	/** End of floods. */
	static final long FLOOD_TO = 45_000;

	private static final double STRAGGLER_FACTOR = 5;

	private static final long DIGEST_MILLIS = 500;

	private static final long STALE_DIGEST_MILLIS = 3000;

	private final int enginesPerGeneration;

	Workload(int enginesPerGeneration) {
		this.enginesPerGeneration = enginesPerGeneration;
	}

	abstract List<Stream> streams();

	void disturb(List<FakeEngine> engines, EventQueue clock) {
	}

	long digestMillis() {
		return DIGEST_MILLIS;
	}

	boolean flooded() {
		return streams().stream().anyMatch(Stream::flood);
	}

	boolean endpointLost() {
		return this == ENGINE_LOST;
	}

	String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	List<EngineModel> engines() {
		List<EngineModel> engines = new ArrayList<>();
		for (EngineModel model : List.of(EngineModel.NEW, EngineModel.MIDDLE, EngineModel.OLD)) {
			engines.addAll(Collections.nCopies(this.enginesPerGeneration, model));
		}
		return engines;
	}

	private static List<Stream> sabarmati(double factor) {
		return List.of(Stream.steady(WorkKind.REPORT, 0.2 * factor, END),
				Stream.steady(WorkKind.SUMMARY, 0.2 * factor, END), Stream.steady(WorkKind.NOTE, 0.05 * factor, END),
				Stream.steady(WorkKind.TAG, 0.1 * factor, END));
	}

	private static List<Stream> mwangaza(double factor) {
		return List.of(Stream.steady(WorkKind.ORDER, 0.1 * factor, END),
				Stream.steady(WorkKind.CHAT, 0.2 * factor, END),
				Stream.steady(WorkKind.ORDER_SUMMARY, 0.1 * factor, END),
				Stream.steady(WorkKind.DRAFT, 0.15 * factor, END));
	}

	private static List<Stream> both(double factor) {
		List<Stream> streams = new ArrayList<>(sabarmati(factor));
		streams.addAll(mwangaza(factor));
		return List.copyOf(streams);
	}

	private static List<Stream> with(List<Stream> streams, Stream... more) {
		List<Stream> all = new ArrayList<>(streams);
		all.addAll(List.of(more));
		return List.copyOf(all);
	}

}
