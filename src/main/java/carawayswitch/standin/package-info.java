/**
 * In-process stand-ins for the platform and for endpoints, used in trials and tests.
 */
package carawayswitch.standin;
