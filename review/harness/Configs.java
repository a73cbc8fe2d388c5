/** Configs as the operator writes them. Stateless. */
final class Configs {

	static final String SERVICE = "wuno96b";

	private Configs() {
	}

	/** Returns a config with one plain service and further routes that nobody uses. */
	static String plain(int version, int extraRoutes, String... keys) {
		StringBuilder routes = new StringBuilder(
				route("r-book", "/puxa403/", "non_idempotent", 1) + "," + route("r-check", "/cufi504/", "idempotent", 2));
		for (int i = 0; i < extraRoutes; i++) {
			routes.append(',').append(route("r-more" + i, "/more" + i + "/", "idempotent", 2));
		}
		return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[{\"name\":\"" + SERVICE
				+ "\",\"health-path\":\"/health\",\"max-connections\":96,\"protocol\":\"h1\",\"tls\":false}],"
				+ "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,"
				+ "\"idle-timeout-ms\":15000},\"tenants\":[{\"name\":\"hule930\",\"api-keys\":["
				+ (keys.length > 0 ? "\"" + String.join("\",\"", keys) + "\"" : "")
				+ "],\"priority\":1,\"unit\":\"tokens\",\"plain-tokens\":200,\"rate-per-s\":177909,\"burst\":177909}]}";
	}

	private static String route(String name, String prefix, String kind, int attempts) {
		return "{\"name\":\"" + name + "\",\"host\":\"" + Fleet.HOST + "\",\"path-prefix\":\"" + prefix + "\",\"kind\":\""
				+ kind + "\",\"timeout-ms\":4000,\"target-latency-ms\":386,\"priority\":2,\"service\":\"" + SERVICE
				+ "\",\"max-attempts\":" + attempts
				+ ",\"auth-exempt\":false,\"sticky\":false,\"stream-resume\":false}";
	}

}
