/**
 * Decisions on memory: which slow clients a host may buffer for, how long a response may
 * be paused, and how many bytes of request bodies one endpoint holds. Does no I/O.
 */
package carawayswitch.backpressure;
