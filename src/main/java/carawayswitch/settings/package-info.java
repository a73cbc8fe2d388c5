/**
 * Checked settings of a host.
 */
package carawayswitch.settings;
