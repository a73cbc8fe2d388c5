import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A gateway process with the command of the deploy file, on a loopback address of its own. */
final class Gateway {

	private static final Pattern OWNER = Pattern.compile("event=place.decided .* owner=(\\S+)");

	final String name;

	final String ip;

	final int front;

	private final int readiness;

	private final int internal;

	private final int storePort;

	private final Path directory;

	private final String bounds;

	private final String contracts;

	volatile Process process;

	/** Owner that the latest decision on a place has named. */
	volatile String owner = "";

	final List<String> log = new CopyOnWriteArrayList<>();

	Gateway(String name, String ip, int storePort, Path directory, String bounds, String contracts)
			throws IOException {
		this.name = name;
		this.ip = ip;
		this.front = freePort(ip);
		this.readiness = freePort(ip);
		this.internal = freePort(ip);
		this.storePort = storePort;
		this.directory = directory;
		this.bounds = bounds;
		this.contracts = contracts;
	}

	static int freePort(String ip) throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
			return socket.getLocalPort();
		}
	}

	void start(boolean bootstrap) throws IOException {
		Path boot = this.directory.resolve(this.name + ".json");
		Files.writeString(boot, """
				{"node-name":"%s","role":"entry","machine-class":"edge","serves":["edge"],"ip":"%s","zone":"a",
				"cluster":"review-2","region":"r","zones":{"a":"r"},"listen":{"front":"%s:%d","readiness":"%s:%d"},
				"internal-port-range":[%d,%d],"seed-nodes":[],"bootstrap":%s,
				"limits":{"cpu-share":0.75,"cpu-cores":1,"memory-mb":430,"max-fds":4100,"link-mbps":1000.0,"disk-mb":0},
				"contracts":[%s],"bounds":{%s},
				"platform":{"address":"127.0.0.1:%d","form":"log","writes-per-s":400,"reads-per-s":2000,"parts":12}}
				""".formatted(this.name, this.ip, this.ip, this.front, this.ip, this.readiness, this.internal,
				this.internal, bootstrap, this.contracts, this.bounds, this.storePort));
		String run = Files.readAllLines(Path.of("deploy/system.toml"))
			.stream()
			.filter((line) -> line.startsWith("run = "))
			.findFirst()
			.orElseThrow()
			.replaceFirst("run = \"(.*)\"", "$1");
		ProcessBuilder builder = new ProcessBuilder(run.split(" ")).redirectErrorStream(true);
		builder.environment().put("CARAWAYSWITCH_BOOT", boot.toString());
		Process started = builder.start();
		this.process = started;
		Http.daemon(() -> {
			try (BufferedReader reader = new BufferedReader(new InputStreamReader(started.getInputStream()))) {
				for (String line = reader.readLine(); line != null; line = reader.readLine()) {
					Matcher owner = OWNER.matcher(line);
					if (owner.find()) {
						this.owner = owner.group(1);
					}
					this.log.add(line);
				}
			}
			catch (IOException ex) {
				// The process has ended.
			}
		});
	}

	boolean ready() {
		try (java.net.Socket socket = new java.net.Socket(this.ip, this.readiness)) {
			socket.setSoTimeout(1000);
			Http.write(socket.getOutputStream(), "GET /ready HTTP/1.1", List.of("Host: x"), null);
			return Http.head(socket.getInputStream()).status() == 200;
		}
		catch (IOException | RuntimeException ex) {
			return false;
		}
	}

	void signal(String signal) throws Exception {
		new ProcessBuilder("kill", "-" + signal, Long.toString(this.process.pid())).start().waitFor();
	}

	void kill() throws Exception {
		this.process.destroyForcibly().waitFor();
	}

}
