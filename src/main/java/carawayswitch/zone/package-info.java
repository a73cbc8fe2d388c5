/**
 * Decides when work leaves its availability zone and how much of it. Classes of this
 * package do no I/O and read no clock; the caller passes the time.
 */
package carawayswitch.zone;
