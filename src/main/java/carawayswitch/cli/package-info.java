/**
 * The command line.
 */
package carawayswitch.cli;
