/**
 * Messages between hosts and records of the log with their MessagePack codecs.
 */
package carawayswitch.message;
