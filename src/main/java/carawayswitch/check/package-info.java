/**
 * Check of a configuration before it is sent to the store: entries without effect, limits
 * that contradict each other, and the differences from the version in force. Nothing here
 * does I/O or reads a clock.
 */
package carawayswitch.check;
