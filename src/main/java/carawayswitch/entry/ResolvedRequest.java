package carawayswitch.entry;

import carawayswitch.config.Organisation;
import carawayswitch.config.Profile;

/**
 * A caller's request after all names are resolved. Immutable.
 *
 * @param requestId id of the request
 * @param organisationName qualified name of the organisation
 * @param organisation the organisation
 * @param service qualified name of the service
 * @param engine true if engines run the service
 * @param profileName qualified name of the profile
 * @param profile the profile
 * @param method HTTP method
 * @param path path and query towards the endpoint
 * @param contentType content type of the body, or empty
 * @param body body towards the endpoint
 * @param stream true if the caller wants an event stream
 * @param chat true for a chat completion
 * @param promptTokens estimated length of the prompt in tokens
 * @param prefixHash hash of the prompt's prefix, or 0
 * @param prefixTokens estimated length of the prefix in tokens
 * @param maxTokens most tokens that the caller allows, or 0
 * @param key qualified idempotency key, or empty
 * @param keyCreatedMillis time at which the key was minted in milliseconds since the
 * epoch
 * @param fingerprint hash of the method, path and body
 * @param arrivalMillis time of arrival in milliseconds
 * @param deadlineMillis time of the deadline in milliseconds
 */
record ResolvedRequest(String requestId, String organisationName, Organisation organisation, String service,
		boolean engine, String profileName, Profile profile, String method, String path, String contentType,
		byte[] body, boolean stream, boolean chat, int promptTokens, long prefixHash, int prefixTokens, int maxTokens,
		String key, long keyCreatedMillis, long fingerprint, long arrivalMillis, long deadlineMillis) {

	boolean requiresGrant() {
		return !this.key.isEmpty() && !this.profile.idempotent();
	}

}
