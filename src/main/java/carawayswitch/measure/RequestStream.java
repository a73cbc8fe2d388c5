package carawayswitch.measure;

/**
 * Poisson stream of requests of one kind. Immutable.
 *
 * @param kind kind of work
 * @param capacityShare offered load as a share of the pool's capacity
 * @param startMillis start of the arrivals in milliseconds
 * @param endMillis end of the arrivals in milliseconds
 * @param organisations number of organisations that send; 0 for a single one named
 * {@code large}
 * @param largeFactor request rate of the first organisation as a multiple of that of each
 * of the others
 * @param lengthLogStdDev standard deviation of the logarithm of the lengths
 * @param flood true if the stream is a flood
 */
record RequestStream(WorkKind kind, double capacityShare, long startMillis, long endMillis, int organisations,
		double largeFactor, double lengthLogStdDev, boolean flood) {

	static RequestStream steady(WorkKind kind, double capacityShare, long endMillis) {
		return new RequestStream(kind, capacityShare, 0, endMillis, 5, 1, 0.5, false);
	}

	static RequestStream flood(WorkKind kind, double capacityShare, long startMillis, long endMillis) {
		return new RequestStream(kind, capacityShare, startMillis, endMillis, 5, 1, 0.5, true);
	}

	RequestStream withLengthLogStdDev(double logStdDev) {
		return new RequestStream(this.kind, this.capacityShare, this.startMillis, this.endMillis, this.organisations,
				this.largeFactor, logStdDev, this.flood);
	}

	RequestStream withOrganisations(int organisations, double largeFactor) {
		return new RequestStream(this.kind, this.capacityShare, this.startMillis, this.endMillis, organisations,
				largeFactor, this.lengthLogStdDev, this.flood);
	}

}
