/**
 * Measures what each part costs for each host, request, grant and record.
 */
package carawayswitch.slopes;
