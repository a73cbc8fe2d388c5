/**
 * Compares scheduling policies under load by discrete-event simulation, with simulated
 * inference engines on a virtual clock.
 */
package carawayswitch.measure;
