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
 * State and services shared by all requests of a host. Safe for use by several threads.
 */
public final class EntryContext {

	private final String host;

	private final long incarnation;

	private final String zone;

	private final ConfigurationHolder configuration;

	private final AtomicReference<MembershipView> membershipView;

	private final Forwarder forwarder;

	private final GrantClient grantClient;

	private final HostMetrics metrics;

	private final EntrySettings settings;

	private final AnswerStore answerStore;

	private final AtomicReference<ConfigurationIndex> index;

	private final ConcurrentMap<String, EndpointLoadView> endpointLoadViews = new ConcurrentHashMap<>();

	private final ConcurrentMap<String, RetryBudget> retryBudgets = new ConcurrentHashMap<>();

	private final OrganisationRateLimiter rateLimiter = new OrganisationRateLimiter();

	private final OrganisationSizeClassifier organisationSizes = new OrganisationSizeClassifier();

	/**
	 * Creates a context.
	 * @param configuration holder of the current configuration
	 * @param membershipView the current membership view
	 * @param forwarder sends attempts to the owners of endpoints
	 * @param grantClient requests grants for idempotency keys
	 * @param metrics metrics of the host
	 * @param settings settings of the HTTP API
	 */
	public EntryContext(ConfigurationHolder configuration, AtomicReference<MembershipView> membershipView,
			Forwarder forwarder, GrantClient grantClient, HostMetrics metrics, EntrySettings settings) {
		this.host = membershipView.get().self().host();
		this.incarnation = membershipView.get().self().incarnation();
		this.zone = membershipView.get().self().zone();
		this.configuration = configuration;
		this.membershipView = membershipView;
		this.forwarder = forwarder;
		this.grantClient = grantClient;
		this.metrics = metrics;
		this.settings = settings;
		this.answerStore = new AnswerStore(settings.answerStoreBytes(), settings.dedupeWindow());
		this.index = new AtomicReference<>(ConfigurationIndex.of(ConfigurationState.EMPTY));
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

	MembershipView membershipView() {
		return this.membershipView.get();
	}

	Forwarder forwarder() {
		return this.forwarder;
	}

	GrantClient grantClient() {
		return this.grantClient;
	}

	HostMetrics metrics() {
		return this.metrics;
	}

	EntrySettings settings() {
		return this.settings;
	}

	AnswerStore answerStore() {
		return this.answerStore;
	}

	OrganisationRateLimiter rateLimiter() {
		return this.rateLimiter;
	}

	OrganisationSizeClassifier organisationSizes() {
		return this.organisationSizes;
	}

	ConfigurationHolder configuration() {
		return this.configuration;
	}

	ConfigurationIndex index() {
		ConfigurationIndex current = this.index.get();
		ConfigurationState state = this.configuration.state();
		if (current.state() == state) {
			return current;
		}
		ConfigurationIndex rebuilt = ConfigurationIndex.of(state);
		this.index.compareAndSet(current, rebuilt);
		return rebuilt;
	}

	EndpointLoadView endpointLoadView(String endpoint) {
		return this.endpointLoadViews.computeIfAbsent(endpoint, EndpointLoadView::new);
	}

	/**
	 * Updates the load of an endpoint.
	 * @param digest digest of the endpoint's load
	 * @param now time on the monotonic clock in milliseconds
	 */
	public void onDigest(EndpointDigest digest, long now) {
		endpointLoadView(digest.endpoint()).onDigest(digest, now);
	}

	/**
	 * Sends a copy of a kept answer to another host. If the answer is not kept, or
	 * belongs to an earlier incarnation of this host, the copy ends with
	 * {@link ErrorKind#ANSWER_NOT_KEPT}.
	 * @param transport connections to other hosts
	 * @param peer id of the other host
	 * @param request identifies the answer and the request that receives the copy
	 */
	public void attachRemote(PeerTransport transport, String peer, AttachRequest request) {
		AttachmentSender sender = new AttachmentSender(transport, peer, request.requestId());
		AnswerRecord answer = (request.incarnation() == this.incarnation)
				? this.answerStore.find(request.holderRequestId()) : null;
		if (answer == null) {
			sender.end(Outcome.UNKNOWN, ErrorKind.ANSWER_NOT_KEPT, "", 0);
		}
		else {
			answer.attach(sender);
		}
	}

	RetryBudget retryBudget(String service) {
		return this.retryBudgets.computeIfAbsent(service, (key) -> new RetryBudget(this.settings.retryRatio()));
	}

}
