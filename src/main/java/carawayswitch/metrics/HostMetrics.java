package carawayswitch.metrics;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;

/**
 * Registers and updates the metrics of one host in a Prometheus registry. Safe for use by
 * several threads.
 */
public final class HostMetrics {

	private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

	private final ConcurrentMap<MeterKey, Counter> counters = new ConcurrentHashMap<>();

	private final ConcurrentMap<MeterKey, Timer> timers = new ConcurrentHashMap<>();

	/**
	 * Increments a counter.
	 * @param metric the counter
	 * @param amount the increment
	 * @param tags alternating keys and values of the labels
	 */
	public void add(Metric metric, double amount, String... tags) {
		this.counters
			.computeIfAbsent(new MeterKey(metric, String.join("|", tags)),
					(key) -> Counter.builder(metric.label())
						.description(metric.description())
						.tags(Tags.of(tags))
						.register(this.registry))
			.increment(amount);
	}

	/**
	 * Records a duration; a negative one counts as 0.
	 * @param metric the timer
	 * @param millis the duration in milliseconds
	 * @param tags alternating keys and values of the labels
	 */
	public void record(Metric metric, long millis, String... tags) {
		this.timers
			.computeIfAbsent(new MeterKey(metric, String.join("|", tags)),
					(key) -> Timer.builder(metric.label())
						.description(metric.description())
						.publishPercentiles(0.5, 0.95, 0.99)
						.tags(Tags.of(tags))
						.register(this.registry))
			.record(Math.max(0, millis), TimeUnit.MILLISECONDS);
	}

	/**
	 * Registers a gauge.
	 * @param metric the gauge
	 * @param value supplies the current value; called by any thread
	 * @param tags alternating keys and values of the labels
	 */
	public void gauge(Metric metric, Supplier<Number> value, String... tags) {
		Gauge.builder(metric.label(), value)
			.description(metric.description())
			.tags(Tags.of(tags))
			.strongReference(true)
			.register(this.registry);
	}

	/**
	 * Renders all metrics in the Prometheus text format.
	 * @return the rendered metrics
	 */
	public String scrape() {
		return this.registry.scrape();
	}

	private record MeterKey(Metric metric, String tags) {

	}

}
