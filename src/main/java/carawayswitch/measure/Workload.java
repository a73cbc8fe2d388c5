package carawayswitch.measure;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;

/**
 * Workloads modelled on the traffic of both example fleets. Times are milliseconds.
 * Immutable.
 */
enum Workload {

	/** Steady traffic of the first fleet. */
	STEADY_NORTH(2) {
		@Override
		List<RequestStream> streams() {
			return north(1);
		}
	},

	/** Steady traffic of the second fleet. */
	STEADY_SOUTH(3) {
		@Override
		List<RequestStream> streams() {
			return south(1);
		}
	},

	/** Steady traffic of both fleets on one pool. */
	MERGED(4) {
		@Override
		List<RequestStream> streams() {
			return bothFleets(0.5);
		}
	},

	/** Flood of the most urgent work, as at the end of a month. */
	REPORT_FLOOD(4) {
		@Override
		List<RequestStream> streams() {
			return append(bothFleets(0.4),
					RequestStream.flood(WorkKind.REPORT, 10, FLOOD_START_MILLIS, FLOOD_END_MILLIS));
		}
	},

	/** Flood of chats from buyers. */
	BUYER_RUSH(4) {
		@Override
		List<RequestStream> streams() {
			return append(bothFleets(0.4),
					RequestStream.flood(WorkKind.CHAT, 10, FLOOD_START_MILLIS, FLOOD_END_MILLIS));
		}
	},

	/** Flood of work of medium urgency. */
	NOTE_FLOOD(4) {
		@Override
		List<RequestStream> streams() {
			return append(bothFleets(0.4),
					RequestStream.flood(WorkKind.NOTE, 10, FLOOD_START_MILLIS, FLOOD_END_MILLIS));
		}
	},

	/** Flood of the least urgent work, followed by one of the most urgent. */
	LEAST_THEN_MOST(4) {
		@Override
		List<RequestStream> streams() {
			long middle = (FLOOD_START_MILLIS + FLOOD_END_MILLIS) / 2;
			return append(bothFleets(0.4), RequestStream.flood(WorkKind.TAG, 10, FLOOD_START_MILLIS, middle),
					RequestStream.flood(WorkKind.REPORT, 10, middle, FLOOD_END_MILLIS));
		}
	},

	/** Load of three times the capacity, most of it less urgent work. */
	OVERLOAD(4) {
		@Override
		List<RequestStream> streams() {
			return List.of(RequestStream.steady(WorkKind.REPORT, 0.15, END_MILLIS),
					RequestStream.steady(WorkKind.ORDER, 0.1, END_MILLIS),
					RequestStream.steady(WorkKind.SUMMARY, 0.7, END_MILLIS),
					RequestStream.steady(WorkKind.TAG, 0.5, END_MILLIS),
					RequestStream.steady(WorkKind.CHAT, 0.8, END_MILLIS),
					RequestStream.steady(WorkKind.DRAFT, 0.75, END_MILLIS));
		}
	},

	/** One engine becomes five times slower during the run. */
	STRAGGLER(4) {
		@Override
		List<RequestStream> streams() {
			return bothFleets(0.5);
		}

		@Override
		void injectFaults(List<SimulatedEngine> engines, EventQueue clock) {
			clock.schedule(FLOOD_START_MILLIS, () -> engines.get(0).slowdownFactor(STRAGGLER_SLOWDOWN_FACTOR));
		}
	},

	/** Entry hosts see digests that are up to three seconds old. */
	STALE_REPORTS(4) {
		@Override
		List<RequestStream> streams() {
			return bothFleets(0.5);
		}

		@Override
		long digestIntervalMillis() {
			return STALE_DIGEST_INTERVAL_MILLIS;
		}
	},

	/** One organisation sends a hundred times as much as each of the others. */
	LARGE_ORGANISATION(4) {
		@Override
		List<RequestStream> streams() {
			return append(
					append(bothFleets(0.3),
							RequestStream.steady(WorkKind.CHAT, 0.2, END_MILLIS).withOrganisations(20, 1)),
					new RequestStream(WorkKind.CHAT, 1, 0, END_MILLIS, 0, 1, 0.5, true));
		}
	},

	/** Lengths of prompts and answers differ by a factor of a hundred. */
	LENGTHS(4) {
		@Override
		List<RequestStream> streams() {
			return bothFleets(0.45).stream().map((stream) -> stream.withLengthLogStdDev(1.2)).toList();
		}
	},

	/** An engine fails in the middle of a flood. */
	ENGINE_LOST(4) {
		@Override
		List<RequestStream> streams() {
			return append(bothFleets(0.4),
					RequestStream.flood(WorkKind.CHAT, 10, FLOOD_START_MILLIS, FLOOD_END_MILLIS));
		}

		@Override
		void injectFaults(List<SimulatedEngine> engines, EventQueue clock) {
			clock.schedule((FLOOD_START_MILLIS + FLOOD_END_MILLIS) / 2.0, () -> engines.get(0).fail());
		}
	};

	/** End of the arrivals in milliseconds. */
	static final long END_MILLIS = 60_000;

	/** Start of floods in milliseconds. */
	static final long FLOOD_START_MILLIS = 15_000;

	/** End of floods in milliseconds. */
	static final long FLOOD_END_MILLIS = 45_000;

	private static final double STRAGGLER_SLOWDOWN_FACTOR = 5;

	private static final long DIGEST_INTERVAL_MILLIS = 500;

	private static final long STALE_DIGEST_INTERVAL_MILLIS = 3000;

	private final int enginesPerGeneration;

	Workload(int enginesPerGeneration) {
		this.enginesPerGeneration = enginesPerGeneration;
	}

	/**
	 * Returns the streams of requests.
	 * @return the streams, including floods
	 */
	abstract List<RequestStream> streams();

	/**
	 * Schedules the engine faults of the workload. By default there are none.
	 * @param engines all engines
	 * @param clock the virtual clock
	 */
	void injectFaults(List<SimulatedEngine> engines, EventQueue clock) {
	}

	/**
	 * Returns the interval at which owners publish digests.
	 * @return interval in milliseconds
	 */
	long digestIntervalMillis() {
		return DIGEST_INTERVAL_MILLIS;
	}

	boolean hasFlood() {
		return streams().stream().anyMatch(RequestStream::flood);
	}

	boolean losesEngine() {
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

	private static List<RequestStream> north(double loadFactor) {
		return List.of(RequestStream.steady(WorkKind.REPORT, 0.2 * loadFactor, END_MILLIS),
				RequestStream.steady(WorkKind.SUMMARY, 0.2 * loadFactor, END_MILLIS),
				RequestStream.steady(WorkKind.NOTE, 0.05 * loadFactor, END_MILLIS),
				RequestStream.steady(WorkKind.TAG, 0.1 * loadFactor, END_MILLIS));
	}

	private static List<RequestStream> south(double loadFactor) {
		return List.of(RequestStream.steady(WorkKind.ORDER, 0.1 * loadFactor, END_MILLIS),
				RequestStream.steady(WorkKind.CHAT, 0.2 * loadFactor, END_MILLIS),
				RequestStream.steady(WorkKind.ORDER_SUMMARY, 0.1 * loadFactor, END_MILLIS),
				RequestStream.steady(WorkKind.DRAFT, 0.15 * loadFactor, END_MILLIS));
	}

	private static List<RequestStream> bothFleets(double loadFactor) {
		List<RequestStream> streams = new ArrayList<>(north(loadFactor));
		streams.addAll(south(loadFactor));
		return List.copyOf(streams);
	}

	private static List<RequestStream> append(List<RequestStream> streams, RequestStream... more) {
		List<RequestStream> combined = new ArrayList<>(streams);
		combined.addAll(List.of(more));
		return List.copyOf(combined);
	}

}
