package carawayswitch.entry;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicReference;

import carawayswitch.config.ConfigurationHolder;
import carawayswitch.config.ConfigurationState;
import carawayswitch.dispatch.Forwarder;
import carawayswitch.membership.MembershipView;
import carawayswitch.message.AttachRequest;
import carawayswitch.message.EndpointDigest;
import carawayswitch.metrics.HostMetrics;
import carawayswitch.metrics.OrganisationSizeClassifier;
import carawayswitch.outcome.ErrorKind;
import carawayswitch.outcome.Outcome;
import carawayswitch.schedule.EndpointLoadView;
import carawayswitch.schedule.RetryBudget;
import carawayswitch.transport.PeerTransport;

/**
 * What all requests of a host share. Safe for use by several threads.
 */
public final class EntryContext {

	private final String host;

	private final long incarnation;

	private final String zone;

	private final ConfigurationHolder configuration;

	private final AtomicReference<MembershipView> view;

	private final Forwarder forwarder;

	private final GrantClient grants;

	private final HostMetrics metrics;

	private final EntrySettings settings;

	private final AnswerStore answers;

	private final AtomicReference<EntryIndex> index;

	private final ConcurrentMap<String, EndpointLoadView> endpoints = new ConcurrentHashMap<>();

	private final ConcurrentMap<String, RetryBudget> budgets = new ConcurrentHashMap<>();

	private final AdmissionLimits admission = new AdmissionLimits();

	private final OrganisationSizeClassifier sizes = new OrganisationSizeClassifier();

	/**
	 * Creates a context.
	 * @param configuration the configuration
	 * @param view the membership
	 * @param forwarder sends attempts to owners
	 * @param grants asks for grants
	 * @param metrics metrics of the host
	 * @param settings settings of the entry
	 */
	public EntryContext(ConfigurationHolder configuration, AtomicReference<MembershipView> view, Forwarder forwarder,
			GrantClient grants, HostMetrics metrics, EntrySettings settings) {
		this.host = view.get().self().host();
		this.incarnation = view.get().self().incarnation();
		this.zone = view.get().self().zone();
		this.configuration = configuration;
		this.view = view;
		this.forwarder = forwarder;
		this.grants = grants;
		this.metrics = metrics;
		this.settings = settings;
		this.answers = new AnswerStore(settings.answerBytes(), settings.dedupeWindow());
		this.index = new AtomicReference<>(EntryIndex.of(ConfigurationState.EMPTY));
	}

	String host() {
		return this.host;
	}

	long incarnation() {
		return this.incarnation;
	}

	String zone() {
		return this.zone;
	}

	MembershipView view() {
		return this.view.get();
	}

	Forwarder forwarder() {
		return this.forwarder;
	}

	GrantClient grants() {
		return this.grants;
	}

	HostMetrics metrics() {
		return this.metrics;
	}

	EntrySettings settings() {
		return this.settings;
	}

	AnswerStore answers() {
		return this.answers;
	}

	AdmissionLimits admission() {
		return this.admission;
	}

	OrganisationSizeClassifier sizes() {
		return this.sizes;
	}

	ConfigurationHolder configuration() {
		return this.configuration;
	}

	EntryIndex index() {
		EntryIndex current = this.index.get();
		ConfigurationState state = this.configuration.state();
		if (current.state() == state) {
			return current;
		}
		EntryIndex next = EntryIndex.of(state);
		this.index.compareAndSet(current, next);
		return next;
	}

	EndpointLoadView endpointView(String endpoint) {
		return this.endpoints.computeIfAbsent(endpoint, EndpointLoadView::new);
	}

	/**
	 * Takes in a digest of an endpoint's load.
	 * @param digest the digest
	 * @param now time in milliseconds
	 */
	public void onDigest(EndpointDigest digest, long now) {
		endpointView(digest.endpoint()).onDigest(digest, now);
	}

	/**
	 * Sends a copy of a kept answer to another host.
	 * @param transport connections to other hosts
	 * @param peer id of the host
	 * @param request names the key
	 */
	public void attachRemote(PeerTransport transport, String peer, AttachRequest request) {
		RemoteAttachment attachment = new RemoteAttachment(transport, peer, request.requestId());
		AnswerRecord kept = (request.incarnation() == this.incarnation) ? this.answers.find(request.holderRequestId())
				: null;
		if (kept == null) {
			attachment.end(Outcome.UNKNOWN, ErrorKind.ANSWER_NOT_KEPT, "", 0);
		}
		else {
			kept.attach(attachment);
		}
	}

	RetryBudget retryBudget(String service) {
		return this.budgets.computeIfAbsent(service, (key) -> new RetryBudget(this.settings.retryRatio()));
	}

}
