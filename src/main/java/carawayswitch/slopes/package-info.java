/**
 * Measures the overhead of the daemon per host, request, grant and configuration record.
 */
package carawayswitch.slopes;
