/**
 * Scheduling decisions: queues, fairness, limits, estimates and the choice of endpoints.
 * Nothing here does I/O or reads a clock.
 */
package carawayswitch.schedule;
