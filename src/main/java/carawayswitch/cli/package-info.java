/**
 * Command-line interface: the commands with their options, help pages and exit codes.
 */
package carawayswitch.cli;
