/**
 * A request scheduler for heterogeneous engines and plain services.
 */
package carawayswitch;
