package carawayswitch.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import carawayswitch.http.ReceivedRequest;
import carawayswitch.route.OrganisationPolicy;
import carawayswitch.route.OriginTable;
import carawayswitch.route.Route;
import carawayswitch.route.StreamKey;
import carawayswitch.schedule.RequestIdentity;

/**
 * Request that has been admitted, with its route and organisation. Immutable.
 *
 * @param request the request as received
 * @param metadata its decoded headers
 * @param route its route
 * @param organisation organisation of its API key, or null if the route needs none
 * @param urgency its urgency
 * @param routeUrgency urgency of its route
 * @param identity identity that it shares with its repeats
 * @param deadlineAt monotonic time in milliseconds at which it must have been answered
 */
record AdmittedRequest(ReceivedRequest request, RequestMetadata metadata, Route route, OrganisationPolicy organisation,
		int urgency, int routeUrgency, String identity, long deadlineAt) {

	/**
	 * Share of the client's wait limit that is reserved for the way of an answer back to
	 * the client. The limit counts from when the client sent the request, and a busy host
	 * reads the request and runs its timers some turns of the event loop late.
	 */
	private static final double ANSWER_RESERVE_SHARE = 0.2;

	/** Largest reserve for the way of an answer back to the client, in milliseconds. */
	private static final long MAX_ANSWER_RESERVE_MILLIS = 150;

	static AdmittedRequest of(ReceivedRequest request, RequestMetadata metadata, Admission.Admitted admitted) {
		Route route = admitted.route();
		OrganisationPolicy organisation = admitted.organisation();
		long waitLimit = (metadata.waitLimitMillis() >= 0) ? metadata.waitLimitMillis() : Long.MAX_VALUE;
		return new AdmittedRequest(request, metadata, route, organisation, admitted.urgency(), admitted.routeUrgency(),
				RequestIdentity.of(request.method(), request.target(), nameOf(organisation), request.body()),
				request.arrivedAt() + Math.min(route.timeoutMillis(), waitLimit));
	}

	private static String nameOf(OrganisationPolicy organisation) {
		return (organisation != null) ? organisation.name() : "";
	}

	/**
	 * Returns the time by which the client must be sent an answer, if only an error, in
	 * order to get it before it stops waiting. It is the deadline if the client names no
	 * limit or its limit is well after the time limit of the route.
	 * @return monotonic time in milliseconds
	 */
	long answerBy() {
		long waitLimit = this.metadata.waitLimitMillis();
		if (waitLimit < 0) {
			return this.deadlineAt;
		}
		long reserve = Math.min(MAX_ANSWER_RESERVE_MILLIS, (long) (waitLimit * ANSWER_RESERVE_SHARE));
		return Math.min(this.deadlineAt, this.request.arrivedAt() + waitLimit - reserve);
	}

	String organisationName() {
		return nameOf(this.organisation);
	}

	/**
	 * Returns what a crash of an endpoint may be attributed to.
	 * @return segments of the prompt and the identity
	 */
	List<String> crashCandidates() {
		List<String> candidates = new ArrayList<>(this.metadata.sharedSegments());
		candidates.add(this.identity);
		return candidates;
	}

	/**
	 * Returns the key that a rejected request and its retry share: a retry has a new
	 * attempt id, but the same target, organisation and prompt.
	 * @return the key
	 */
	String returnKey() {
		return Integer.toHexString(Objects.hash(this.request.target(), organisationName(), this.metadata.lastSegment(),
				this.metadata.promptTokens(), this.metadata.maxOutputTokens()));
	}

	long bodyBytes() {
		return this.request.body().length;
	}

	int capUnits() {
		OrganisationPolicy.Cap cap = (this.organisation != null) ? this.organisation.cap() : null;
		if (cap == null) {
			return 0;
		}
		if (!cap.countsTokens()) {
			return 1;
		}
		return this.metadata.tokenCountsPresent() ? this.metadata.capTokens() : cap.defaultRequestTokens();
	}

	/**
	 * Returns whether the client has a part of the stream already and wants the rest.
	 * @return true if the client takes a stream up
	 */
	boolean takesUpStream() {
		return this.route.resumesStreams() && this.metadata.lastEventId() != null;
	}

	/**
	 * Returns the key of the stream that this request begins or takes up.
	 * @return the key
	 */
	String streamKey() {
		return StreamKey.of(organisationName(), this.route.name(),
				takesUpStream() ? this.metadata.resumedStream() : this.metadata.attemptId());
	}

	/**
	 * Returns how long the client may take up the stream that this request begins. A
	 * client that names no limit counts like the most patient one whose streams need not
	 * be recorded.
	 * @param now monotonic time in milliseconds
	 * @return the time in milliseconds
	 */
	long streamLifetimeMillis(long now) {
		long waitLimit = this.metadata.waitLimitMillis();
		return (waitLimit >= 0) ? Math.max(0, this.request.arrivedAt() + waitLimit - now)
				: OriginTable.MAX_UNRECORDED_MILLIS;
	}

}
