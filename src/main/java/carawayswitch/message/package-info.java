/**
 * Messages between hosts and records of the log, with their MessagePack encoding.
 */
package carawayswitch.message;
