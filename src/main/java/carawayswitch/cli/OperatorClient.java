package carawayswitch.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.commons.cli.CommandLine;

import carawayswitch.http.Json;

/**
 * Client of the admin API of a host. Immutable.
 *
 * @param address HTTP address of the host
 * @param token bearer token of the operators
 */
record OperatorClient(InetSocketAddress address, String token) {

	/** Limit for the connection and for the response, each. */
	private static final Duration TIMEOUT = Duration.ofSeconds(15);

	private static final String TOKEN_VARIABLE = "CARAWAYSWITCH_TOKEN";

	static OperatorClient of(CommandLine line) throws UsageException {
		String token = line.getOptionValue("token", System.getenv().getOrDefault(TOKEN_VARIABLE, ""));
		if (token.isEmpty()) {
			throw new UsageException(
					"--token is not set; valid: the token of the operators, also in the variable " + TOKEN_VARIABLE);
		}
		return new OperatorClient(CommonOptions.parseAddress(line, "host", "127.0.0.1:8080"), token);
	}

	Response call(String method, String path, String body) throws IOException, InterruptedException {
		URI uri = URI.create("http://" + this.address.getHostString() + ":" + this.address.getPort() + path);
		HttpRequest request = HttpRequest.newBuilder(uri)
			.timeout(TIMEOUT)
			.header("Authorization", "Bearer " + this.token)
			.method(method, HttpRequest.BodyPublishers.ofString(body))
			.build();
		HttpResponse<byte[]> response = HttpClient.newBuilder()
			.version(HttpClient.Version.HTTP_1_1)
			.connectTimeout(TIMEOUT)
			.build()
			.send(request, HttpResponse.BodyHandlers.ofByteArray());
		return new Response(response.statusCode(), Json.parse(response.body()).getOrElse(Json.object()));
	}

	/**
	 * Response of a host. Immutable.
	 *
	 * @param status HTTP status
	 * @param body parsed body, or an empty object if it is not JSON
	 */
	record Response(int status, JsonNode body) {

		boolean ok() {
			return this.status == 200;
		}

		String errorMessage() {
			return this.body.path("error").path("message").asText("status " + this.status);
		}

	}

}
