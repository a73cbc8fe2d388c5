package carawayswitch.measure;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Load pattern for one pool of engines. Immutable.
 *
 * @param name name of the pattern
 * @param site engines and steady demand
 * @param rateFactor factor on the steady request rates of all kinds
 * @param bursts periods of a higher request rate
 * @param outages periods in which engines are unavailable
 */
record PoolLoad(String name, PoolSite site, double rateFactor, List<Burst> bursts, List<Outage> outages) {

	PoolLoad(String name, double rateFactor, List<Burst> bursts, List<Outage> outages) {
		this(name, PoolSite.SMALL, rateFactor, bursts, outages);
	}

	/** Time in seconds for which requests arrive. */
	static final double ARRIVAL_SECONDS = 34;

	/** Load patterns of the small site. */
	static final List<PoolLoad> ALL = List.of(new PoolLoad("steady", 1.0, List.of(), List.of()),
			new PoolLoad("tag-flood", 1.3, List.of(new Burst(4.6, 6.7, 2.5, 2, -1)), List.of()),
			new PoolLoad("report-flood", 1.3, List.of(new Burst(12, 3.3, 1.8, 0, -1)), List.of()),
			new PoolLoad("large-organisation", 1.3, List.of(new Burst(7, 6, 6, -1, 4)), List.of()),
			new PoolLoad("lost-engines", 1.3, List.of(),
					List.of(new Outage(8, 5, 0, false), new Outage(11, 2, 1, false))),
			new PoolLoad("dark-engines", 1.0, List.of(),
					List.of(new Outage(8, 4.5, 0, true), new Outage(20, 4.5, 1, true))),
			new PoolLoad("everything", 1.6,
					List.of(new Burst(4.5, 6.9, 2.3, 2, -1), new Burst(12, 3.2, 1.8, 0, -1),
							new Burst(8.7, 5.3, 3, -1, 3)),
					List.of(new Outage(8, 5, 0, false), new Outage(11, 2, 1, false), new Outage(2, 32, 5, false))));

	/** Load patterns of the sites with too little room or uneven engines. */
	static final List<PoolLoad> HARD = Stream.of(PoolSite.SCARCE, PoolSite.UNEVEN)
		.flatMap(PoolLoad::hardPatterns)
		.toList();

	private static Stream<PoolLoad> hardPatterns(PoolSite site) {
		int engines = site.stepTimeFactors().size();
		List<Outage> quarterLost = IntStream.range(0, engines / 4)
			.mapToObj((i) -> new Outage(11.2, 4, 4 * i, false))
			.toList();
		List<Burst> reports = List.of(new Burst(13, 3.2, 1.6, 0, -1));
		List<Burst> tags = List.of(new Burst(3.2, 6.2, 2.6, 2, -1));
		List<Burst> organisation = List.of(new Burst(8.4, 6.5, 7.5, -1, 0));
		List<Burst> all = Stream.of(reports, tags, organisation).flatMap(List::stream).toList();
		return Stream.of(new PoolLoad(site.name() + "-steady", site, 1, List.of(), List.of()),
				new PoolLoad(site.name() + "-tag-flood", site, 1.2, tags, List.of()),
				new PoolLoad(site.name() + "-report-flood", site, 1.2, reports, List.of()),
				new PoolLoad(site.name() + "-large-organisation", site, 1.2, organisation, List.of()),
				new PoolLoad(site.name() + "-lost-engines", site, 1.2, List.of(), quarterLost),
				new PoolLoad(site.name() + "-everything", site, 1.2, all, quarterLost));
	}

	/**
	 * Returns the request rate of a kind for an organisation.
	 * @param kind index of the kind
	 * @param organisation index of the organisation
	 * @param second time in seconds
	 * @return requests per second
	 */
	double requestsPerSecond(int kind, int organisation, double second) {
		double rate = this.site.kinds().get(kind).requestsPerSecond() * this.site.organisationShares().get(organisation)
				* this.rateFactor * this.site.wave().factor(second);
		for (Burst burst : this.bursts) {
			boolean applies = (burst.kind() < 0 || burst.kind() == kind)
					&& (burst.organisation() < 0 || burst.organisation() == organisation);
			if (applies && second >= burst.startSecond() && second < burst.startSecond() + burst.durationSeconds()) {
				rate *= burst.rateFactor();
			}
		}
		return rate;
	}

	/**
	 * Period with a higher request rate. Immutable.
	 *
	 * @param startSecond start in seconds
	 * @param durationSeconds length in seconds
	 * @param rateFactor factor on the request rate
	 * @param kind index of the kind, or -1 for all
	 * @param organisation index of the organisation, or -1 for all
	 */
	record Burst(double startSecond, double durationSeconds, double rateFactor, int kind, int organisation) {

	}

	/**
	 * Period in which an engine is unavailable. Immutable.
	 *
	 * @param startSecond start in seconds
	 * @param durationSeconds length in seconds
	 * @param engine index of the engine
	 * @param dark true if the engine keeps its connections and falls silent, false if it
	 * fails and is replaced by a new one
	 */
	record Outage(double startSecond, double durationSeconds, int engine, boolean dark) {

	}

}
