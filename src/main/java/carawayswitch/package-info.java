/**
 * A request scheduler for unlike engines.
 */
package carawayswitch;
