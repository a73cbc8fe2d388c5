/**
 * Clocks.
 */
package carawayswitch.time;
