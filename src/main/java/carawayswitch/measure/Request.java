package carawayswitch.measure;

/**
 * Request of a workload with its actual output length, which the scheduler does not know.
 * Immutable.
 *
 * @param id number of the request, unique in the workload
 * @param kind kind of work
 * @param organisation name of the organisation
 * @param promptTokens length of the prompt in tokens
 * @param outputTokens length of the answer in tokens
 * @param prefixHash hash of the prompt's prefix, or 0
 * @param prefixTokens length of the prefix in tokens
 * @param arrivalMillis virtual time of arrival in milliseconds
 * @param flood true if the request belongs to a flood
 */
record Request(int id, WorkKind kind, String organisation, int promptTokens, int outputTokens, long prefixHash,
		int prefixTokens, long arrivalMillis, boolean flood) {

	long deadlineMillis() {
		return this.arrivalMillis + this.kind.deadlineMillis();
	}

}
