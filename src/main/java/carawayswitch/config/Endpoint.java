package carawayswitch.config;

import java.util.List;

/**
 * Configured endpoint that runs models or plain services. Immutable.
 *
 * @param services qualified names of the services
 * @param address base URL
 * @param zone availability zone
 * @param region region
 * @param concurrency maximum number of concurrent requests; 0 stands for the default of
 * 32
 * @param kvTokens capacity of the KV cache in tokens, or 0 if unlimited
 * @param checksFences whether the endpoint rejects orders with an old fencing token
 * @param leaving true if the endpoint is draining and accepts no new requests
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
	 * Returns a copy with another leaving state.
	 * @param newLeaving true if the endpoint accepts no new requests
	 * @return the changed copy
	 */
	public Endpoint withLeaving(boolean newLeaving) {
		return new Endpoint(this.services, this.address, this.zone, this.region, this.concurrency, this.kvTokens,
				this.checksFences, newLeaving);
	}

}
