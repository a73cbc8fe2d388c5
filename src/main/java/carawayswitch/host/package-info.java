/**
 * The host process: assembles the components of a host and runs their periodic tasks.
 */
package carawayswitch.host;
