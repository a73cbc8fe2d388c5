/**
 * Monotonic time of the process, and checks of time limits.
 */
package carawayswitch.time;
