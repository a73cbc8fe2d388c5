/**
 * Request scheduling: queues, fair queueing, rate and retry limits, load estimates and
 * load balancing over endpoints. Classes of this package do no I/O and read no clock; the
 * caller passes the time.
 */
package carawayswitch.schedule;
