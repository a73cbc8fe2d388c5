package carawayswitch.entry;

import carawayswitch.config.Organisation;
import carawayswitch.config.Profile;

/**
 * A caller's request, parsed and authenticated, with all names resolved. Immutable.
 *
 * @param requestId id of the request
 * @param organisationName qualified name of the organisation
 * @param organisation the organisation
 * @param service qualified name of the service
 * @param engine true if the service is a model that engines run
 * @param profileName qualified name of the profile
 * @param profile the profile
 * @param method HTTP method
 * @param path path and query sent to the endpoint
 * @param contentType content type of the request body, or empty
 * @param body request body sent to the endpoint
 * @param stream true if the caller asked for an event stream
 * @param chat true if the request is a chat completion
 * @param promptTokens estimated length of the prompt in tokens
 * @param prefixHash hash of the prompt's prefix, or 0 if the prompt has no prefix to hash
 * @param prefixTokens estimated length of the prefix in tokens, or 0
 * @param maxTokens maximum number of tokens to generate, or 0 if the caller set none
 * @param key idempotency key, prefixed with the organisation, or empty
 * @param keyCreatedMillis creation time of the key in milliseconds since the epoch, or 0
 * if there is no key
 * @param fingerprint hash of the method, path and body
 * @param arrivalMillis time of arrival on the monotonic clock in milliseconds
 * @param deadlineMillis deadline on the monotonic clock in milliseconds
 */
record ResolvedRequest(String requestId, String organisationName, Organisation organisation, String service,
		boolean engine, String profileName, Profile profile, String method, String path, String contentType,
		byte[] body, boolean stream, boolean chat, int promptTokens, long prefixHash, int prefixTokens, int maxTokens,
		String key, long keyCreatedMillis, long fingerprint, long arrivalMillis, long deadlineMillis) {

	boolean requiresGrant() {
		return !this.key.isEmpty() && !this.profile.idempotent();
	}

}
