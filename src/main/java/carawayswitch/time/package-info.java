/**
 * Monotonic time of the process.
 */
package carawayswitch.time;
