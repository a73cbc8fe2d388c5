package carawayswitch.entry;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;

import io.activej.bytebuf.ByteBuf;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;

import carawayswitch.outcome.ErrorKind;
import carawayswitch.outcome.Outcome;
import carawayswitch.outcome.TimeOrderedId;
import carawayswitch.schedule.OutputLengthEstimator;

/**
 * Serves the requests of callers on one event loop and delegates all others to another
 * servlet. Confined to the thread of the event loop; {@link #inFlight} may be called by
 * any thread.
 */
public final class EntryServlet implements AsyncServlet {

	private static final double COST_PER_PROMPT_TOKEN = 0.1;

	private final EntryContext context;

	private final NioReactor reactor;

	private final RandomGenerator random;

	private final AsyncServlet operatorServlet;

	private final AtomicInteger inFlight = new AtomicInteger();

	private final OutputLengthEstimator lengthEstimator = new OutputLengthEstimator();

	/**
	 * Creates a servlet.
	 * @param context state shared by all requests of the host
	 * @param reactor the event loop
	 * @param random source of random numbers
	 * @param operatorServlet serves requests outside the callers' API
	 */
	public EntryServlet(EntryContext context, NioReactor reactor, RandomGenerator random,
			AsyncServlet operatorServlet) {
		this.context = context;
		this.reactor = reactor;
		this.random = random;
		this.operatorServlet = operatorServlet;
	}

	@Override
	public Promise<HttpResponse> serve(HttpRequest request) throws Exception {
		if (!isCallerRequest(request)) {
			return this.operatorServlet.serve(request);
		}
		long now = this.reactor.currentTimeMillis();
		String requestId = TimeOrderedId.next();
		this.inFlight.incrementAndGet();
		return request.loadBody(this.context.settings().maxBodyBytes())
			.then((body) -> serveBody(request, body, requestId, now),
					(failure) -> Promise.of(errorResponse(
							new RequestException(ErrorKind.BODY_TOO_LARGE, bodyLimitDetail()), requestId)))
			.whenComplete((response, failure) -> this.inFlight.decrementAndGet());
	}

	private Promise<HttpResponse> serveBody(HttpRequest request, ByteBuf body, String requestId, long now) {
		if (body.readRemaining() > this.context.settings().maxBodyBytes()) {
			return Promise
				.of(errorResponse(new RequestException(ErrorKind.BODY_TOO_LARGE, bodyLimitDetail()), requestId));
		}
		return parseAndServe(request, body.getArray(), requestId, now);
	}

	private String bodyLimitDetail() {
		return "valid: up to " + this.context.settings().maxBodyBytes() + " bytes";
	}

	private static boolean isCallerRequest(HttpRequest request) {
		String path = request.getPath();
		boolean completion = path.equals("/v1/completions") || path.equals("/v1/chat/completions");
		return completion && request.getMethod() == HttpMethod.POST || path.startsWith(RequestParser.SERVICES_PATH);
	}

	private Promise<HttpResponse> parseAndServe(HttpRequest request, byte[] body, String requestId, long now) {
		ConfigurationIndex index = this.context.index();
		long defaultDeadline = this.context.settings().defaultDeadline().toMillis();
		ResolvedRequest resolved;
		try {
			resolved = new RequestParser(index, defaultDeadline).parse(request, body, requestId, now);
		}
		catch (RequestException ex) {
			return Promise.of(errorResponse(ex, requestId));
		}
		if (!tryAdmit(resolved, now)) {
			Outcome outcome = resolved.requiresGrant() ? Outcome.UNKNOWN : Outcome.NOT_RUN;
			return Promise.of(ErrorResponses.response(ErrorKind.ORGANISATION_LIMIT, outcome, "", 0, requestId,
					this.context.host()));
		}
		return new RequestExecution(this.context, this.reactor, this.random, this.lengthEstimator, resolved).start();
	}

	private boolean tryAdmit(ResolvedRequest resolved, long now) {
		double cost = 1 + resolved.promptTokens() * COST_PER_PROMPT_TOKEN
				+ (resolved.engine() ? resolved.profile().expectedTokens() : 0);
		return this.context.rateLimiter()
			.tryAcquire(resolved.organisationName(), resolved.organisation().tokensPerSecond(),
					this.context.membershipView().working().size(), cost, now);
	}

	private HttpResponse errorResponse(RequestException ex, String requestId) {
		return ErrorResponses.response(ex.kind(), ex.kind().outcome(), ex.getMessage(), 0, requestId,
				this.context.host());
	}

	/**
	 * Returns the number of callers' requests in flight, that is, without a response.
	 * @return number of requests
	 */
	public int inFlight() {
		return this.inFlight.get();
	}

}
