package carawayswitch.measure;

/**
 * A stream of requests of one kind. Immutable.
 *
 * @param kind kind of work
 * @param share offered load as a share of the pool's capacity
 * @param fromMillis time of the first request in milliseconds
 * @param toMillis time of the last request in milliseconds
 * @param organisations number of organisations that send
 * @param largeFactor how many times more the first organisation sends than the others
 * @param lengthSpread spread of the lengths: the standard deviation of their logarithm
 * @param flood true if the stream is a flood
 */
record Stream(WorkKind kind, double share, long fromMillis, long toMillis, int organisations, double largeFactor,
		double lengthSpread, boolean flood) {

	static Stream steady(WorkKind kind, double share, long toMillis) {
		return new Stream(kind, share, 0, toMillis, 5, 1, 0.5, false);
	}

	static Stream flood(WorkKind kind, double share, long fromMillis, long toMillis) {
		return new Stream(kind, share, fromMillis, toMillis, 5, 1, 0.5, true);
	}

	Stream withLengthSpread(double spread) {
		return new Stream(this.kind, this.share, this.fromMillis, this.toMillis, this.organisations, this.largeFactor,
				spread, this.flood);
	}

	Stream withOrganisations(int number, double factor) {
		return new Stream(this.kind, this.share, this.fromMillis, this.toMillis, number, factor, this.lengthSpread,
				this.flood);
	}

}
