/**
 * Small stand-ins for the platform and for endpoints, for trials and tests.
 */
package carawayswitch.standin;
