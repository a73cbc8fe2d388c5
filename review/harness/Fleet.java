import java.io.BufferedInputStream;
import java.io.File;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment: a store, gateway processes started with the command of the deploy
 * file, and a record of what was seen. All addresses are loopback addresses.
 */
final class Fleet {

	static final int OK = 0;

	static final int BROKEN = 1;

	static final int NOT_RUN = 2;

	static final String HOST = "ficu95.example";

	final Store store;

	final Path folder;

	final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

	private final PrintStream record;

	private final long startedAt = System.nanoTime();

	private final Path temporary;

	private final List<Gateway> gateways = new ArrayList<>();

	private Fleet(Path folder) throws IOException {
		this.folder = folder;
		this.record = new PrintStream(folder.resolve("record.txt").toFile(), StandardCharsets.UTF_8);
		this.temporary = Files.createTempDirectory("review");
		this.store = new Store();
		Runtime.getRuntime().addShutdownHook(new Thread(this::close));
		note("trouble=" + this.trouble);
	}

	/** Runs a case and exits with its result. */
	static void run(String folder, Case test) {
		int result = NOT_RUN;
		Fleet fleet = null;
		try {
			fleet = new Fleet(Path.of(folder).toAbsolutePath());
			result = test.run(fleet);
		}
		catch (Throwable ex) {
			ex.printStackTrace();
			if (fleet != null) {
				fleet.note("could not run: " + ex);
			}
		}
		if (fleet != null) {
			fleet.note("exit " + result);
		}
		System.exit(result);
	}

	/** Writes a line to the record. */
	synchronized void note(String line) {
		String stamped = String.format("%8.3f %s", (System.nanoTime() - this.startedAt) / 1e9, line);
		this.record.println(stamped);
		this.record.flush();
	}

	private void close() {
		this.gateways.forEach((gateway) -> gateway.process.destroyForcibly());
		try (Stream<Path> files = Files.walk(this.temporary)) {
			files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
		}
		catch (IOException ex) {
			System.err.println("temporary folder not removed: " + ex.getMessage());
		}
	}

	/** Starts a gateway and waits until it is ready. */
	Gateway start(String name, String storeAddress) throws IOException, InterruptedException {
		Gateway gateway = launch(name, storeAddress);
		long until = System.nanoTime() + 20_000_000_000L;
		while (!gateway.ready()) {
			if (System.nanoTime() > until || !gateway.process.isAlive()) {
				throw new IOException("gateway " + name + " does not become ready");
			}
			Thread.sleep(50);
		}
		note("gateway " + name + " is ready at " + gateway.front);
		return gateway;
	}

	/** Starts a gateway without waiting for it. */
	Gateway launch(String name, String storeAddress) throws IOException {
		ThreadLocalRandom random = ThreadLocalRandom.current();
		String ip = "127." + random.nextInt(10, 250) + "." + random.nextInt(10, 250) + "." + random.nextInt(10, 250);
		int front = freePort(ip);
		int readiness = freePort(ip);
		int internal = freePort(ip);
		String boot = """
				{"node-name":"%1$s","role":"entry","machine-class":"edge","serves":["edge"],"ip":"%2$s","zone":"a",
				"region":"r","zones":{"a":"r"},"listen":{"front":"%2$s:%3$d","readiness":"%2$s:%4$d"},
				"internal-port-range":[%5$d,%5$d],"seed-nodes":[],"bootstrap":true,
				"limits":{"cpu-share":0.75,"cpu-cores":1,"memory-mb":430,"max-fds":4100,"link-mbps":1000.0,"disk-mb":0},
				"data-dir":null,"discovery":"platform","entry":"vip","heartbeat-ms":1200,
				"fault-tolerance":{"machines":2,"zones":0,"regions":0},
				"bounds":{"seed-lag-s":3,"addr-reuse-s":2,"stability-ms":3000,"ack-ms":4000,"catch-up-s":4,"drain-ms":2000,
				"grace-s":8,"loss-slack-ms":200,"config-apply-ms":2000,"rollback-slack-ms":250,"max-stretch-ms":5000,
				"revoke-strict":true,"revoke-ms":5000,"retry-budget-ratio":0.2,"budget-window-s":10,"budget-extra":52,
				"quota-window-s":8,"quota-excess":0.1,"quota-slack":140000,"recovery-s":12,"pass-ms":120,"retry-after-s":10},
				"platform":{"address":"%6$s","form":"log","writes-per-s":400,"reads-per-s":2000,"parts":12,"append-ms":2.0,
				"part-mb-s":20.0,"read-mb-s":80.0,"record-bytes":262144,"call-bytes":2097152,"keep_s":300,"part-mb":200,
				"ttl-min-ms":1000}}
				"""
			.formatted(name, ip, front, readiness, internal, storeAddress);
		Path file = Files.writeString(this.temporary.resolve(name + ".json"), boot);
		ProcessBuilder builder = new ProcessBuilder(deployCommand());
		builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
		builder.environment().put("CARAWAYSWITCH_BOOT", file.toString());
		builder.redirectErrorStream(true);
		builder.redirectOutput(ProcessBuilder.Redirect.appendTo(this.temporary.resolve(name + ".log").toFile()));
		Gateway gateway = new Gateway(name, builder.start(), new InetSocketAddress(ip, front),
				new InetSocketAddress(ip, readiness), this.temporary.resolve(name + ".log"));
		this.gateways.add(gateway);
		return gateway;
	}

	private static int freePort(String ip) throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
			return socket.getLocalPort();
		}
	}

	private static List<String> deployCommand() throws IOException {
		Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
		if (!run.find()) {
			throw new IOException("deploy/system.toml has no command");
		}
		return List.of(run.group(1).split(" "));
	}

	/** Stops a process with SIGTERM, as the platform does. */
	void terminate(Gateway gateway) {
		note("SIGTERM to " + gateway.name);
		gateway.process.destroy();
	}

	/** Ends a process with SIGKILL. */
	void kill(Gateway gateway) {
		note("SIGKILL to " + gateway.name);
		gateway.process.destroyForcibly();
	}

	/** A gateway process. */
	static final class Gateway {

		final String name;

		final Process process;

		final InetSocketAddress front;

		final InetSocketAddress readiness;

		final Path log;

		Gateway(String name, Process process, InetSocketAddress front, InetSocketAddress readiness, Path log) {
			this.name = name;
			this.process = process;
			this.front = front;
			this.readiness = readiness;
			this.log = log;
		}

		/** Asks for readiness as the platform does. */
		boolean ready() {
			try (Socket socket = new Socket()) {
				socket.setSoTimeout(1000);
				socket.connect(this.readiness, 500);
				socket.getOutputStream()
					.write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
				return Http.readResponse(new BufferedInputStream(socket.getInputStream())).head().status() == 200;
			}
			catch (IOException ex) {
				return false;
			}
		}

		/** Opens a client connection. */
		Client connect() throws IOException {
			return connect(0);
		}

		Client connect(int receiveBufferBytes) throws IOException {
			Socket socket = new Socket();
			if (receiveBufferBytes > 0) {
				socket.setReceiveBufferSize(receiveBufferBytes);
			}
			socket.setTcpNoDelay(true);
			socket.connect(this.front, 1000);
			return new Client(socket);
		}

	}

	/** A client connection, which carries one request at a time. */
	static final class Client implements AutoCloseable {

		final Socket socket;

		final BufferedInputStream in;

		private final OutputStream out;

		Client(Socket socket) throws IOException {
			this.socket = socket;
			this.in = new BufferedInputStream(socket.getInputStream());
			this.out = socket.getOutputStream();
		}

		void send(String method, String path, String id, long deadlineMillis, String key, byte[] body)
				throws IOException {
			send(method, path, id, deadlineMillis, key, "", body);
		}

		void send(String method, String path, String id, long deadlineMillis, String key, String moreHeaders, byte[] body)
				throws IOException {
			String head = method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Attempt-Id: " + id
					+ "\r\nX-Deadline-Ms: " + deadlineMillis + "\r\nAuthorization: Bearer " + key + "\r\n" + moreHeaders
					+ ((body.length > 0 || !method.equals("GET")) ? "Content-Length: " + body.length + "\r\n" : "")
					+ "\r\n";
			this.out.write(head.getBytes(StandardCharsets.ISO_8859_1));
			this.out.write(body);
			this.out.flush();
		}

		Http.Message receive(int timeoutMillis) throws IOException {
			this.socket.setSoTimeout(timeoutMillis);
			return Http.readResponse(this.in);
		}

		@Override
		public void close() throws IOException {
			this.socket.close();
		}

	}

	/** Body of a case. */
	interface Case {

		int run(Fleet fleet) throws Exception;

	}

}
