/**
 * Measures the scheduling decisions under load, with fake engines on a virtual clock.
 */
package carawayswitch.measure;
