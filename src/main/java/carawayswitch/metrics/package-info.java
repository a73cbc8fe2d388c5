/**
 * Metrics of a host.
 */
package carawayswitch.metrics;
