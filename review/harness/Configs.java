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
				+ limits(keys);
	}

	private static String limits(String... keys) {
		return "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,"
				+ "\"idle-timeout-ms\":15000},\"tenants\":[{\"name\":\"hule930\",\"api-keys\":["
				+ (keys.length > 0 ? "\"" + String.join("\",\"", keys) + "\"" : "")
				+ "],\"priority\":1,\"unit\":\"tokens\",\"plain-tokens\":200,\"rate-per-s\":177909,\"burst\":177909}]}";
	}

	/** Returns a config with one service of model workers, whose streams may be resumed. */
	static String engine(int version, String... keys) {
		return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-chat\",\"host\":\"" + Fleet.HOST
				+ "\",\"path-prefix\":\"/pufi791/\",\"kind\":\"streaming\",\"timeout-ms\":12000,"
				+ "\"target-latency-ms\":400,\"priority\":1,\"service\":\"" + Engine.SERVICE
				+ "\",\"max-attempts\":2,\"auth-exempt\":false,\"sticky\":true,\"stream-resume\":true,"
				+ "\"gap-aim-ms\":250}],\"services\":[{\"name\":\"" + Engine.SERVICE
				+ "\",\"health-path\":\"/health\",\"max-connections\":360,\"protocol\":\"h1\",\"tls\":false,"
				+ "\"engine\":{\"slots\":8,\"kv-token-capacity\":590723,\"kv-token-bytes\":18432,\"stride\":5,"
				+ "\"models\":[{\"name\":\"m\"}]}}]," + limits(keys);
	}

	private static String route(String name, String prefix, String kind, int attempts) {
		return "{\"name\":\"" + name + "\",\"host\":\"" + Fleet.HOST + "\",\"path-prefix\":\"" + prefix + "\",\"kind\":\""
				+ kind + "\",\"timeout-ms\":4000,\"target-latency-ms\":386,\"priority\":2,\"service\":\"" + SERVICE
				+ "\",\"max-attempts\":" + attempts
				+ ",\"auth-exempt\":false,\"sticky\":false,\"stream-resume\":false}";
	}

}
