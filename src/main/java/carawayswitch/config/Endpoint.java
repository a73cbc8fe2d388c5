package carawayswitch.config;

import java.util.List;

/**
 * A worker of models or plain services. Immutable.
 *
 * @param services qualified names of the services
 * @param address base URL of the worker
 * @param zone availability zone of the worker
 * @param region region of the worker
 * @param concurrency most requests that run at once
 * @param kvTokens capacity of the KV cache in tokens, or 0 if unlimited
 * @param checksFences whether the worker refuses orders with an old fencing number
 * @param leaving true when the worker takes no new work
 */
public record Endpoint(List<String> services, String address, String zone, String region, int concurrency, int kvTokens,
		boolean checksFences, boolean leaving) implements Entity {

	private static final int DEFAULT_CONCURRENCY = 32;

	public Endpoint {
		concurrency = (concurrency != 0) ? concurrency : DEFAULT_CONCURRENCY;
	}

	@Override
	public String validationError() {
		boolean hasServices = this.services != null && !this.services.isEmpty();
		if (!hasServices || !this.services.stream().allMatch((service) -> service.contains("/"))) {
			return "services is not valid; valid: qualified names fleet/name";
		}
		if (this.address == null || !this.address.matches("http://[0-9.]+:\\d{1,5}")) {
			return "address is not valid; valid: a URL such as http://127.0.0.1:8000";
		}
		if (this.zone == null || this.region == null) {
			return "zone or region is not set";
		}
		return (this.concurrency > 0 && this.kvTokens >= 0) ? "" : "concurrency and kv_tokens must not be negative";
	}

	/**
	 * Returns this endpoint in leaving state.
	 * @param newLeaving whether the worker takes no new work
	 * @return the changed copy
	 */
	public Endpoint withLeaving(boolean newLeaving) {
		return new Endpoint(this.services, this.address, this.zone, this.region, this.concurrency, this.kvTokens,
				this.checksFences, newLeaving);
	}

}
