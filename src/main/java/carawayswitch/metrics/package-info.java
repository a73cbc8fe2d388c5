/**
 * Metrics of a host in the Prometheus format.
 */
package carawayswitch.metrics;
